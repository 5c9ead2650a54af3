#include "src/balancer/leave_gate.h"

#include <catch2/catch.hpp>

namespace gcw::balancer {
namespace {

using membership::Incarnation;
using membership::Member;

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);
constexpr Incarnation kFirstStart = Incarnation{1}
                                    << membership::kRefutationBits;

absl::Time At(int seconds) {
  return kStart + absl::Seconds(seconds);
}

Member MakeMember(const std::string& name, Incarnation incarnation) {
  Member member;
  member.name = name;
  member.incarnation = incarnation;
  return member;
}

// After its restart, b1 does not know the requests that were granted before. If
// this daemon left at that time, the zone could lose the last witness that
// knows them, and b1 could not tell a new request from a repeated one.
TEST_CASE("a daemon does not leave shortly after another has restarted") {
  LeaveGate gate(absl::Seconds(6), absl::Seconds(15));
  gate.OnMembers(std::vector{MakeMember("b1", kFirstStart)}, At(0));
  CHECK_FALSE(gate.MayLeave(At(8)));
  // b1 restarts at 7 s; the shutdown is requested at 10 s.
  gate.OnMembers(std::vector{MakeMember("b1", 2 * kFirstStart)}, At(7));
  gate.RequestLeave(At(10));
  CHECK_FALSE(gate.MayLeave(At(10)));
  CHECK_FALSE(gate.MayLeave(At(12)));
  // A higher incarnation of the same process, from a refuted suspicion, is not
  // a restart.
  gate.OnMembers(std::vector{MakeMember("b1", 2 * kFirstStart + 1)}, At(12));
  CHECK(gate.MayLeave(At(13)));
}

TEST_CASE(
    "daemons leave one at a time, but none waits longer than the maximum") {
  LeaveGate gate(absl::Seconds(6), absl::Seconds(15));
  const Member leaver = MakeMember("b1", kFirstStart | membership::kLeavingBit);
  gate.OnMembers(std::vector{leaver}, At(0));
  gate.RequestLeave(At(20));
  CHECK_FALSE(gate.MayLeave(At(21)));
  CHECK(gate.MayLeave(At(35)));
  gate.OnMembers({}, At(22));
  CHECK(gate.MayLeave(At(22)));
}

TEST_CASE("a daemon without other members leaves at once") {
  LeaveGate gate(absl::Seconds(6), absl::Seconds(15));
  gate.RequestLeave(At(1));
  CHECK(gate.MayLeave(At(1)));
}

}  // namespace
}  // namespace gcw::balancer
