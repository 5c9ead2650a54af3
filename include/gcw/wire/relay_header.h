#ifndef GCW_WIRE_RELAY_HEADER_H_
#define GCW_WIRE_RELAY_HEADER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace gcw::wire {

// What a daemon says of a packet that it relays to another daemon. It travels
// as the private data of a GUE variant 0 header:
//
//   bytes 0-3   GUE: version 0, control 0, header length 7 words, protocol 4
//               (IPv4), flags with the private bit set
//   byte  4     hops so far
//   byte  5     zero
//   bytes 6-7   ranks of holders that the packet has visited, a bit each
//   bytes 8-15  the sender's configuration revision
//   bytes 16-23 the identity of the service as the sender knows it
//   bytes 24-31 the identity of the backend server that the sender chose, or 0
struct RelayHeader {
  static constexpr std::size_t kSize = 32;

  std::uint8_t hops = 0;
  std::uint16_t visited = 0;
  std::uint64_t revision = 0;
  std::uint64_t service = 0;
  std::uint64_t placement = 0;

  bool operator==(const RelayHeader&) const = default;

  // Thread-safe; never fails.
  std::array<std::uint8_t, kSize> Encode() const;

  // Decodes the header at the front of `bytes`. Returns nothing if it is cut
  // or of another kind. Thread-safe.
  static std::optional<RelayHeader> Decode(std::span<const std::uint8_t> bytes);
};

}  // namespace gcw::wire

#endif  // GCW_WIRE_RELAY_HEADER_H_
