#ifndef GCW_SRC_ROUTING_FLOW_KEY_H_
#define GCW_SRC_ROUTING_FLOW_KEY_H_

#include <cstdint>

#include "gcw/base/endpoint.h"
#include "gcw/base/hash.h"

namespace gcw::routing {

// Names a flow on all daemons. Its top bits choose bucket and holders, so that
// records of one bucket lie at the same two daemons. Never 0.
using FlowKey = std::uint64_t;

inline std::uint64_t PackEndpoint(const Endpoint& endpoint) {
  return (std::uint64_t{endpoint.ip} << 16) | endpoint.port;
}

inline FlowKey FlowKeyOf(const Endpoint& source, const Endpoint& service) {
  return MixHash(PackEndpoint(source), PackEndpoint(service)) | 1;
}

// The index of `key` among 2^`bits` equal parts. Precondition: 0 < bits < 64.
inline std::uint32_t TopBits(FlowKey key, unsigned bits) {
  return static_cast<std::uint32_t>(key >> (64U - bits));
}

}  // namespace gcw::routing

#endif  // GCW_SRC_ROUTING_FLOW_KEY_H_
