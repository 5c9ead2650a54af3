#ifndef GCW_MEMBERSHIP_MEMBER_H_
#define GCW_MEMBERSHIP_MEMBER_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "gcw/base/endpoint.h"

namespace gcw::membership {

// The state of a member as this daemon sees it.
enum class MemberState : std::uint8_t {
  kAlive = 0,
  kSuspect = 1,  // Did not answer a probe; still counted as a live member.
  kDead = 2,     // Did not refute the suspicion in time.
  kLeft = 3,     // Announced that it has left.
};

// The name of a state in logs and status reports. Thread-safe.
std::string_view ToString(MemberState state);

// Orders the updates about one member: a larger incarnation is newer. The high
// bits identify the start of the process; the low bits count the suspicions
// that the process has refuted.
using Incarnation = std::uint64_t;

// The number of low bits of an incarnation.
inline constexpr int kRefutationBits = 20;

// Identifies the start of the process that `incarnation` belongs to. It changes
// when the member restarts and so loses its state. Thread-safe.
constexpr std::uint64_t ProcessStart(Incarnation incarnation) {
  return incarnation >> kRefutationBits;
}

// Set in the incarnation of a member that has begun to leave. Such a member
// finishes its current work and should get no new work. As part of the
// incarnation, the bit is gossiped like every newer update of the member and
// persists through suspicions.
inline constexpr Incarnation kLeavingBit = Incarnation{1}
                                           << (kRefutationBits - 1);

// Whether the member with `incarnation` has begun to leave. Thread-safe.
constexpr bool IsLeaving(Incarnation incarnation) {
  return (incarnation & kLeavingBit) != 0;
}

// A daemon of the deployment, as another daemon sees it.
struct Member {
  std::string name;
  std::string zone;
  Endpoint address;  // The membership port, at which other daemons reach it.
  MemberState state = MemberState::kAlive;
  Incarnation incarnation = 0;
  // When this daemon last received a message from the member; InfinitePast if
  // never.
  absl::Time last_heard = absl::InfinitePast();
  // When `state` last changed on this daemon.
  absl::Time state_since = absl::InfinitePast();
  // The highest configuration revision in the messages of the member to this
  // daemon.
  std::uint64_t revision = 0;

  // Whether the member has begun to leave. It may still be live.
  bool leaving() const { return IsLeaving(incarnation); }

  // Whether the member is alive or only suspected.
  bool live() const {
    return state == MemberState::kAlive || state == MemberState::kSuspect;
  }
};

}  // namespace gcw::membership

#endif  // GCW_MEMBERSHIP_MEMBER_H_
