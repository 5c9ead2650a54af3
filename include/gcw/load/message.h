#ifndef GCW_LOAD_MESSAGE_H_
#define GCW_LOAD_MESSAGE_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "gcw/base/result.h"
#include "gcw/load/figures.h"

namespace gcw::load {

// The direction of a message and the daemons whose load it sums.
enum class MessageType : std::uint8_t {
  kPartial = 0,  // Up a tree: the sum over the sender's subtree.
  kZone = 1,     // Between roots: the sum over the sender's zone.
  kTotal = 2,    // Down a tree: the sum over the fleet. Starts a round.
};

// The daemons of each zone form two trees, see Aggregator. In the first one
// they are sorted by name, in the second one the other way round.
inline constexpr std::uint8_t kTreeCount = 2;

// A message between two daemons.
struct Message {
  MessageType type = MessageType::kPartial;
  std::uint8_t tree = 0;  // Below kTreeCount.
  // The round: chosen by the root in kTotal and kZone, echoed in kPartial.
  std::uint32_t sequence = 0;
  // The sum, with the figures of single servers only in some rounds.
  FleetFigures figures;
  bool has_servers = false;

  bool operator==(const Message&) const = default;
};

// With its signature, a message of this size fits into one datagram at the
// usual MTU.
inline constexpr std::size_t kMaxMessageBytes = 1300;

// Encodes a message as a CBOR array. Leaves out what does not fit into
// kMaxMessageBytes, the least loaded servers and cells first. Thread-safe.
std::vector<std::uint8_t> Encode(const Message& message);

// Decodes a message. Checks the type and range of every field, and that no
// bytes follow the message. Fails with kMalformedMessage and the path of the
// first invalid field. Thread-safe.
Result<Message> Decode(std::span<const std::uint8_t> bytes);

}  // namespace gcw::load

#endif  // GCW_LOAD_MESSAGE_H_
