#ifndef GCW_MEMBERSHIP_MEMBER_H_
#define GCW_MEMBERSHIP_MEMBER_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "gcw/base/endpoint.h"

namespace gcw::membership {

// What this daemon believes of a member.
enum class MemberState : std::uint8_t {
  kAlive = 0,
  kSuspect = 1,  // Did not answer; still counted as a member.
  kDead = 2,     // Did not refute the suspicion in time.
  kLeft = 3,     // Said that it leaves.
};

// Thread-safe.
std::string_view ToString(MemberState state);

// Orders statements about one member: the larger one is newer. The high bits
// number the process start, the low ones count refuted suspicions.
using Incarnation = std::uint64_t;

inline constexpr int kRefutationBits = 20;

// The start of the process that `incarnation` belongs to; it differs after a
// restart, when the member has lost its state. Thread-safe.
constexpr std::uint64_t ProcessStart(Incarnation incarnation) {
  return incarnation >> kRefutationBits;
}

// Set in the incarnation of a member from when it begins to leave: it finishes
// what it holds and should get nothing new. Part of the incarnation, so that it
// spreads and outlives suspicions like any newer statement of the member.
inline constexpr Incarnation kLeavingBit = Incarnation{1}
                                           << (kRefutationBits - 1);

// Whether the member with `incarnation` has begun to leave. Thread-safe.
constexpr bool IsLeaving(Incarnation incarnation) {
  return (incarnation & kLeavingBit) != 0;
}

// One daemon of the deployment.
struct Member {
  std::string name;
  std::string zone;
  Endpoint address;  // Its membership port, as others reach it.
  MemberState state = MemberState::kAlive;
  Incarnation incarnation = 0;
  // When a message of this member last arrived here, InfinitePast if never.
  absl::Time last_heard = absl::InfinitePast();
  // When `state` last changed here.
  absl::Time state_since = absl::InfinitePast();
  // The configuration revision in its last message to this daemon.
  std::uint64_t revision = 0;

  // Whether it has begun to leave; it may still be live.
  bool leaving() const { return IsLeaving(incarnation); }

  // Whether it takes part: alive or only suspected.
  bool live() const {
    return state == MemberState::kAlive || state == MemberState::kSuspect;
  }
};

}  // namespace gcw::membership

#endif  // GCW_MEMBERSHIP_MEMBER_H_
