#include "src/soak/plan.h"

#include <catch2/catch.hpp>
#include <set>

#include "src/soak/promises.h"

namespace gcw::soak {
namespace {

TEST_CASE("a plan follows from its seed, and seeds differ") {
  CHECK(DrawPlan(7, absl::Seconds(60)) == DrawPlan(7, absl::Seconds(60)));
  CHECK(DrawPlan(7, absl::Seconds(60)) != DrawPlan(8, absl::Seconds(60)));
}

TEST_CASE("plans hold every kind, overlaps and calm at both ends") {
  std::set<FaultKind> kinds;
  bool overlap = false;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    const auto plan = DrawPlan(seed, absl::Seconds(60));
    for (std::size_t i = 0; i < plan.size(); ++i) {
      kinds.insert(plan[i].kind);
      CHECK(plan[i].at >= kCalmStart);
      CHECK(plan[i].at < absl::Seconds(60) - kCalmEnd);
      overlap =
          overlap || (i > 0 && plan[i].at < plan[i - 1].at + plan[i - 1].lasts);
    }
  }
  CHECK(kinds.size() == static_cast<std::size_t>(FaultKind::kCount));
  CHECK(overlap);
}

TEST_CASE("what was impaired is calm only after a while") {
  Impairments impairments;
  const absl::Time start = absl::UnixEpoch();
  CHECK(impairments.Calm("b1", start));
  impairments.Begin("b1");
  impairments.Begin("b1");
  impairments.End("b1", start);
  CHECK_FALSE(impairments.Calm("b1", start + absl::Seconds(9)));
  impairments.End("b1", start + absl::Seconds(9));
  CHECK_FALSE(impairments.Calm("b1", start + absl::Seconds(10)));
  CHECK(impairments.Calm("b1", start + absl::Seconds(13)));
}

TEST_CASE("each broken promise fails a run") {
  PromiseCounts good;
  good.requests = good.answered = 100;
  good.fault_free_requests = good.fault_free_answered = 100;
  CHECK(Failures(good).empty());
  PromiseCounts bad = good;
  bad.broken_flows = 1;
  CHECK(Failures(bad).size() == 1);
  bad = good;
  bad.fault_free_answered = 90;
  CHECK(Failures(bad).size() == 1);
  CHECK(Failures({}).size() == 2);
}

}  // namespace
}  // namespace gcw::soak
