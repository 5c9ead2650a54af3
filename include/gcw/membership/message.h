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
  kPing = 0,  // Answer with kAck of the same nonce.
  kAck = 1,
  kPingRequest = 2,  // Ping `target` and pass its answer on.
  kSyncRequest = 3,  // Send the members whose names follow `target`.
  kSyncReply = 4,    // A page of members in `gossip`.
};

// A statement about a member that is passed on.
struct MemberUpdate {
  std::string name;
  std::string zone;
  Endpoint address;
  MemberState state = MemberState::kAlive;
  Incarnation incarnation = 0;

  bool operator==(const MemberUpdate&) const = default;
};

// A message between two daemons. The sender's own record is in each one.
struct Message {
  MessageType type = MessageType::kPing;
  std::uint64_t nonce = 0;
  MemberUpdate sender;
  std::uint64_t revision = 0;  // The sender's configuration revision.
  std::uint32_t digest = 0;    // Of the sender's live members.
  std::string target;          // kPingRequest, kSyncRequest: a member name.
  std::vector<MemberUpdate> gossip;
  std::vector<std::uint8_t> payload;  // Opaque to membership.

  bool operator==(const Message&) const = default;
};

// Messages stay within one datagram of the usual MTU, signature included.
inline constexpr std::size_t kMaxMessageBytes = 1300;
inline constexpr std::size_t kMaxUpdates = 24;
inline constexpr std::size_t kMaxPayloadBytes = 256;
inline constexpr std::size_t kMaxNameBytes = 64;

// CBOR arrays. Thread-safe.
std::vector<std::uint8_t> Encode(const Message& message);

// Strict: every field is checked for type and range, and nothing may follow.
// Fails with kMalformedMessage and the field's path. Thread-safe.
Result<Message> Decode(std::span<const std::uint8_t> bytes);

}  // namespace gcw::membership

#endif  // GCW_MEMBERSHIP_MESSAGE_H_
