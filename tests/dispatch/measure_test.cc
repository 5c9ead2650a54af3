#include <fmt/format.h>

#include <catch2/catch.hpp>

#include "tests/dispatch/sim.h"

namespace gcw::dispatch {
namespace {

constexpr int kSeeds = 5;
constexpr absl::Duration kWarm = absl::Seconds(8);

SimOptions Valtellina() {
  return SimOptions{};
}

SimOptions ScotEast() {
  SimOptions options;
  options.zones = {"a", "b", "c"};
  options.slots = 2;
  return options;
}

// Hidden: prints the tables of docs/measurements/dispatch.md.
TEST_CASE("service by load and policy", "[.measure][.load]") {
  for (const auto& [deployment, base] : {std::pair("valtellina", Valtellina()),
                                         std::pair("scot-east", ScotEast())}) {
    for (const char* policy : {"home"}) {
      for (const double load : {0.7, 0.9, 1.5, 3.0}) {
        double main = 0;
        double small = 0;
        double sheds = 0;
        double imbalance = 0;
        SimTotals sum;
        for (int seed = 1; seed <= kSeeds; ++seed) {
          SimOptions options = base;
          options.policy = policy;
          options.seed = seed;
          if (options.policy != "home") {
            options.retry_share = 2;  // Plain: up to three tries.
            options.retry_burst = 1e6;
          }
          Sim sim(options);
          sim.Run(kWarm, load);
          sim.ResetService();
          const auto before = sim.totals();
          sim.Run(absl::Seconds(20), load);
          imbalance = std::max(imbalance, sim.imbalance());
          sim.Settle(absl::Seconds(2));
          main += sim.service("valtellina") / kSeeds;
          small += sim.service("tayside") / kSeeds;
          sheds += static_cast<double>(sim.totals().sheds - before.sheds) /
                   static_cast<double>(sim.totals().sent - before.sent) /
                   kSeeds;
          sum.run_twice += sim.totals().run_twice;
          sum.false_not_run += sim.totals().false_not_run;
          sum.wrong_answer += sim.totals().wrong_answer;
          sum.refused += sim.totals().refused;
          sum.unknown += sim.totals().unknown;
        }
        fmt::print(
            "{:10} {:12} {:.1f} main {:.3f} small {:.3f} sheds/request {:.2f} "
            "imbalance {:.2f} twice {} false {} wrong {} refused {} unknown "
            "{}\n",
            deployment, policy, load, main, small, sheds, imbalance,
            sum.run_twice, sum.false_not_run, sum.wrong_answer, sum.refused,
            sum.unknown);
        CHECK(sum.wrong_answer == 0);
      }
    }
  }
}

}  // namespace
}  // namespace gcw::dispatch
