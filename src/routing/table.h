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

// A server that receives new flows of a service, with its weight.
struct WeightedServer {
  ServerId server = 0;
  std::uint32_t weight = 0;

  bool operator==(const WeightedServer&) const = default;
};

// The input from which a table is computed. Equal specs give equal tables in
// every process.
struct TableSpec {
  // Revision of the configuration at which a daemon first saw this spec.
  config::Version revision = 0;
  // Ordered by server identifier.
  std::vector<WeightedServer> weighted_servers;
  // Servers of the service that accept no packets, in ascending order.
  std::vector<ServerId> out_servers;

  bool operator==(const TableSpec&) const = default;

  // Whether both specs give the same table.
  bool SameTable(const TableSpec& other) const {
    return weighted_servers == other.weighted_servers;
  }
};

// The server of each bucket, as a position in `TableSpec::weighted_servers`;
// kNoPosition if the spec has no servers.
struct Table {
  static constexpr std::uint16_t kNoPosition = 0xffff;

  // Binary logarithm of the number of buckets.
  unsigned bucket_bits = 0;
  std::vector<std::uint16_t> positions;

  std::uint16_t At(FlowKey key) const {
    return positions[TopBits(key, bucket_bits)];
  }
};

// Returns how many bits select a bucket in a table for `servers` servers; the
// number of buckets is a power of two.
unsigned BucketBits(std::size_t servers);

// Returns the preference of bucket number `bucket` in a table of
// 2^`bucket_bits` buckets for `server`: the score of rendezvous hashing.
inline std::uint64_t Preference(std::uint64_t bucket, ServerId server) {
  return MixHash(server, bucket);
}

// Builds a table by rendezvous hashing with a capacity for each server: a
// bucket goes to the server that it prefers most among those with spare
// capacity, and a server over its capacity keeps the buckets with the highest
// preference for it. Thread-safe.
Table BuildTable(std::span<const WeightedServer> weighted_servers);

}  // namespace gcw::routing

#endif  // GCW_SRC_ROUTING_TABLE_H_
