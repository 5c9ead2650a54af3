#ifndef GCW_MEMBERSHIP_MESSAGE_H_
#define GCW_MEMBERSHIP_MESSAGE_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "gcw/base/endpoint.h"
#include "gcw/base/result.h"
#include "gcw/membership/member.h"

namespace gcw::membership {

enum class MessageType : std::uint8_t {
  kPing = 0,  // Asks for a kAck with the same nonce.
  kAck = 1,
  kPingRequest = 2,  // Asks the receiver to ping `target` and forward its kAck.
  kSyncRequest = 3,  // Asks for members whose names sort after `target`.
  // Carries a page of members in `gossip`. `target` is the last name of the
  // page, or empty if no page follows.
  kSyncReply = 4,
};

// The state of a member, which daemons pass on to each other by gossip.
struct MemberUpdate {
  std::string name;
  std::string zone;
  Endpoint address;
  MemberState state = MemberState::kAlive;
  Incarnation incarnation = 0;

  bool operator==(const MemberUpdate&) const = default;
};

// A message between two daemons. Each message carries the sender's own record.
struct Message {
  MessageType type = MessageType::kPing;
  std::uint64_t nonce = 0;
  MemberUpdate sender;
  std::uint64_t revision = 0;        // The sender's configuration revision.
  std::uint32_t digest = 0;          // Hash of the sender and its live members.
  std::string target;                // A member name; see MessageType.
  std::vector<MemberUpdate> gossip;  // Updates that the sender passes on.
  std::vector<std::uint8_t> payload;  // Opaque to membership.

  bool operator==(const Message&) const = default;
};

// With its signature, a message of this size fits into one datagram at the
// usual MTU.
inline constexpr std::size_t kMaxMessageBytes = 1300;
// The most updates in one message.
inline constexpr std::size_t kMaxUpdates = 24;
inline constexpr std::size_t kMaxPayloadBytes = 256;
inline constexpr std::size_t kMaxNameBytes = 64;

// Encodes a message as a CBOR array. Thread-safe.
std::vector<std::uint8_t> Encode(const Message& message);

// Decodes a message. Checks the type and range of every field, and that no
// bytes follow the message. Fails with kMalformedMessage and the path of the
// first invalid field. Thread-safe.
Result<Message> Decode(std::span<const std::uint8_t> bytes);

}  // namespace gcw::membership

#endif  // GCW_MEMBERSHIP_MESSAGE_H_
