#ifndef GCW_WIRE_RELAY_HEADER_H_
#define GCW_WIRE_RELAY_HEADER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace gcw::wire {

// Routing information that a daemon sends along with a packet that it relays to
// another daemon. Encoded as the private data of a GUE variant 0 header:
//
//   bytes 0-3   GUE: version 0, control 0, header length 7 words, protocol 4
//               (IPv4), flags with the private bit set
//   byte  4     number of relays so far, including this one
//   byte  5     zero
//   bytes 6-7   bit mask of the holders that the packet has visited, by rank
//   bytes 8-15  configuration revision of the sender
//   bytes 16-23 identity of the service that the sender takes the packet for
//   bytes 24-31 identity of the backend server that the sender chose, or 0
//
// The fields have the meaning of those of routing::RelayHeader. Holders are the
// daemons that keep the records of a flow.
struct RelayHeader {
  static constexpr std::size_t kSize = 32;

  std::uint8_t hops = 0;
  std::uint16_t visited = 0;
  std::uint64_t revision = 0;
  std::uint64_t service = 0;
  std::uint64_t placement = 0;

  bool operator==(const RelayHeader&) const = default;

  // Returns the encoded header. Thread-safe; never fails.
  std::array<std::uint8_t, kSize> Encode() const;

  // Decodes the header at the start of `bytes`. Returns nothing if it is
  // truncated or of another kind. Thread-safe.
  static std::optional<RelayHeader> Decode(std::span<const std::uint8_t> bytes);
};

}  // namespace gcw::wire

#endif  // GCW_WIRE_RELAY_HEADER_H_
