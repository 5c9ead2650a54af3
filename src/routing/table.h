#ifndef GCW_SRC_ROUTING_TABLE_H_
#define GCW_SRC_ROUTING_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "gcw/config/snapshot.h"
#include "gcw/routing/packet.h"
#include "src/routing/flow_key.h"

namespace gcw::routing {

// A server that takes new flows of a service, with its weight.
struct WeightedServer {
  ServerId server = 0;
  std::uint32_t weight = 0;

  bool operator==(const WeightedServer&) const = default;
};

// All that a table is computed from. Equal specs give equal tables in every
// process.
struct TableSpec {
  // The configuration at which a daemon first saw this spec.
  config::Version revision = 0;
  std::vector<WeightedServer> weighted_servers;  // In order of server identity.
  std::vector<ServerId>
      out_servers;  // Servers of the service that take no packet.

  bool operator==(const TableSpec&) const = default;

  // Whether both give the same table.
  bool SameTable(const TableSpec& other) const {
    return weighted_servers == other.weighted_servers;
  }
};

// Which position in `TableSpec::shares` each bucket belongs to; kNoPosition if
// the spec has no shares.
struct Table {
  static constexpr std::uint16_t kNoPosition = 0xffff;

  unsigned bucket_bits = 0;
  std::vector<std::uint16_t> positions;

  std::uint16_t At(FlowKey key) const {
    return positions[TopBits(key, bucket_bits)];
  }
};

// The number of buckets, as a power of two, for `servers` servers.
unsigned BucketBits(std::size_t servers);

// Preference of a bucket for a server. `bucket` is counted among 2^`bits`.
inline std::uint64_t Preference(std::uint64_t bucket, ServerId server) {
  return MixHash(server, bucket);
}

// Builds the table by rendezvous hashing with a bound for each server: a
// bucket belongs to the server that it prefers among those with room, and a
// server that has too many keeps those that prefer it most. Thread-safe.
Table BuildTable(std::span<const WeightedServer> weighted_servers);

}  // namespace gcw::routing

#endif  // GCW_SRC_ROUTING_TABLE_H_
