#ifndef GCW_SRC_ROUTING_FLOW_KEY_H_
#define GCW_SRC_ROUTING_FLOW_KEY_H_

#include <cstdint>

#include "gcw/base/endpoint.h"
#include "gcw/base/hash.h"

namespace gcw::routing {

// Identifies a flow by its caller and service address; the same on all daemons.
// The top bits select the bucket and the partition, so that the records of a
// bucket are kept by the same two holders, unless the table has fewer buckets
// than there are partitions. Never 0.
using FlowKey = std::uint64_t;

// Returns the IP address and port of `endpoint` as one number.
inline std::uint64_t PackEndpoint(const Endpoint& endpoint) {
  return (std::uint64_t{endpoint.ip} << 16) | endpoint.port;
}

// Returns the key of the flow from `source` to the service address `service`.
inline FlowKey FlowKeyOf(const Endpoint& source, const Endpoint& service) {
  return MixHash(PackEndpoint(source), PackEndpoint(service)) | 1;
}

// Returns which of 2^`bits` equal parts of the hash space contains `key`.
// Precondition: 0 < bits < 64.
inline std::uint32_t TopBits(FlowKey key, unsigned bits) {
  return static_cast<std::uint32_t>(key >> (64U - bits));
}

}  // namespace gcw::routing

#endif  // GCW_SRC_ROUTING_FLOW_KEY_H_
