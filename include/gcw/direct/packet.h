#ifndef GCW_DIRECT_PACKET_H_
#define GCW_DIRECT_PACKET_H_

#include <cstdint>

#include "gcw/base/endpoint.h"

namespace gcw::direct {

// Identifies the backend server that handles a flow. Both ends of a flow write
// it into each packet, so that any daemon can find the server. 0 means that the
// packet has no cookie yet.
using FlowCookie = std::uint32_t;

// Identifies a flow by its two addresses. Packets of both directions have the
// same key.
struct FlowKey {
  Endpoint caller;
  Endpoint service;  // The route address that the caller uses.

  bool operator==(const FlowKey&) const = default;

  template <typename H>
  friend H AbslHashValue(H h, const FlowKey& key) {
    return H::combine(std::move(h), key.caller, key.service);
  }
};

// The fields of a caller's packet that routing decisions depend on.
struct Packet {
  FlowKey flow;
  bool syn = false;
  bool fin = false;
  bool rst = false;
  std::uint32_t sequence = 0;
  // The acknowledgement number. In a SYN: how often the caller has already
  // retransmitted the SYN.
  std::uint32_t acknowledged = 0;
  std::uint32_t payload = 0;  // Size of the data in bytes.
  FlowCookie cookie = 0;
};

}  // namespace gcw::direct

#endif  // GCW_DIRECT_PACKET_H_
