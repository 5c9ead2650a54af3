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

TEST_CASE("a daemon does not leave while another is young") {
  LeaveGate gate(absl::Seconds(6), absl::Seconds(15));
  gate.OnMembers(std::vector{MakeMember("b1", kFirstStart)}, At(0));
  CHECK_FALSE(gate.MayLeave(At(8)));
  // b1 restarts at 7 s; the stop comes at 10 s.
  gate.OnMembers(std::vector{MakeMember("b1", 2 * kFirstStart)}, At(7));
  gate.Request(At(10));
  CHECK_FALSE(gate.MayLeave(At(10)));
  CHECK_FALSE(gate.MayLeave(At(12)));
  // A refuted suspicion is no restart.
  gate.OnMembers(std::vector{MakeMember("b1", 2 * kFirstStart + 1)}, At(12));
  CHECK(gate.MayLeave(At(13)));
}

TEST_CASE("one daemon leaves at a time, but none waits for ever") {
  LeaveGate gate(absl::Seconds(6), absl::Seconds(15));
  const Member leaver = MakeMember("b1", kFirstStart | membership::kLeavingBit);
  gate.OnMembers(std::vector{leaver}, At(0));
  gate.Request(At(20));
  CHECK_FALSE(gate.MayLeave(At(21)));
  CHECK(gate.MayLeave(At(35)));
  gate.OnMembers({}, At(22));
  CHECK(gate.MayLeave(At(22)));
}

TEST_CASE("a lone daemon leaves at once") {
  LeaveGate gate(absl::Seconds(6), absl::Seconds(15));
  gate.Request(At(1));
  CHECK(gate.MayLeave(At(1)));
}

}  // namespace
}  // namespace gcw::balancer
