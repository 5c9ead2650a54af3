#include <fmt/format.h>

#include <catch2/catch.hpp>

#include "tests/dispatch/sim.h"

namespace gcw::dispatch {
namespace {

constexpr int kSeeds = 5;
// Time under load before a measurement, longer than repeat_lifetime and
// warm_up.
constexpr absl::Duration kWarmUpRun = absl::Seconds(8);

SimOptions Valtellina() {
  return SimOptions{};
}

SimOptions ScotEast() {
  SimOptions options;
  options.zones = {"a", "b", "c"};
  options.slots = 2;
  return options;
}

// The tests in this file are hidden from a plain run. They print the tables of
// docs/measurements/dispatch.md.
TEST_CASE("delivered share of worth by load and policy", "[.measure][.load]") {
  for (const auto& [deployment, base] : {std::pair("valtellina", Valtellina()),
                                         std::pair("scot-east", ScotEast())}) {
    for (const char* policy : {"home", "random", "least_loaded", "divided"}) {
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
            // Without a retry budget: up to three attempts per request.
            options.retry_share = 2;
            options.retry_burst = 1e6;
          }
          Sim sim(options);
          sim.Run(kWarmUpRun, load);
          sim.ResetMeasurements();
          const SimTotals before = sim.totals();
          sim.Run(absl::Seconds(20), load);
          imbalance = std::max(imbalance, sim.imbalance());
          sim.RunWithoutNewRequests(absl::Seconds(2));
          main += sim.delivered_share("valtellina") / kSeeds;
          small += sim.delivered_share("tayside") / kSeeds;
          sheds += static_cast<double>(sim.totals().sheds - before.sheds) /
                   static_cast<double>(sim.totals().sent - before.sent) /
                   kSeeds;
          sum.run_twice += sim.totals().run_twice;
          sum.false_not_run += sim.totals().false_not_run;
          sum.wrong_answer += sim.totals().wrong_answer;
          sum.refused += sim.totals().refused - before.refused;
          sum.unknown += sim.totals().unknown - before.unknown;
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

SimOptions Deployment(const std::string& name, int seed) {
  SimOptions options = name == "valtellina" ? Valtellina() : ScotEast();
  options.seed = seed;
  return options;
}

const char* const kDeployments[] = {"valtellina", "scot-east"};

TEST_CASE("imbalance with a slow server and wrong load reports",
          "[.measure][.imbalance]") {
  for (const char* deployment : kDeployments) {
    for (const char* policy : {"home", "random", "least_loaded", "divided"}) {
      double worst = 0;
      double sum = 0;
      for (int seed = 1; seed <= kSeeds; ++seed) {
        SimOptions options = Deployment(deployment, seed);
        options.policy = policy;
        options.retry_share = options.policy == "home" ? 0.1 : 2;
        options.retry_burst = options.policy == "home" ? 10 : 1e6;
        Sim sim(options);
        // All simulated load reports are wrong: they show an idle server that
        // has never restarted.
        sim.server("main-2").faults.slow_factor = 3;
        sim.Run(kWarmUpRun, 0.7);
        sim.ResetMeasurements();
        sim.Run(absl::Seconds(20), 0.7);
        worst = std::max(worst, sim.imbalance());
        sum += sim.imbalance() / kSeeds;
      }
      fmt::print("imbalance {:10} {:12} mean {:.3f} worst {:.3f}\n", deployment,
                 policy, sum, worst);
      CHECK(sum > 0);
    }
  }
}

TEST_CASE(
    "retries and delivered worth when all servers shed half of the attempts",
    "[.measure][.storm]") {
  for (const char* deployment : kDeployments) {
    for (int seed = 1; seed <= kSeeds; ++seed) {
      Sim sim(Deployment(deployment, seed));
      sim.Run(kWarmUpRun, 0.7);
      for (const std::string& name : sim.server_names()) {
        sim.server(name).faults.shed_share = 0.5;
      }
      sim.ResetMeasurements();
      sim.Run(absl::Seconds(20), 0.7);
      sim.RunWithoutNewRequests(absl::Seconds(2));
      fmt::print("storm {:10} seed {} extra attempts {:.3f} service {:.3f}\n",
                 deployment, seed, sim.retries_per_first_attempt(),
                 sim.delivered_share("valtellina"));
      CHECK(sim.totals().false_not_run == 0);
    }
  }
}

TEST_CASE("largest load on cold servers by policy", "[.measure][.cold]") {
  for (const char* deployment : kDeployments) {
    for (const char* policy : {"home", "least_loaded", "divided"}) {
      double worst = 0;
      for (int seed = 1; seed <= kSeeds; ++seed) {
        SimOptions options = Deployment(deployment, seed);
        options.policy = policy;
        Sim sim(options);
        sim.Run(kWarmUpRun, 0.7);
        sim.At(absl::Seconds(1), [&] { sim.RestartServer("main-1"); });
        sim.At(absl::Seconds(6), [&] {
          sim.RestartServer("main-2");
          sim.RestartServer("main-3");
          sim.RestartServer("small-1");
        });
        sim.At(absl::Seconds(12), [&] {
          for (const std::string& name : sim.server_names(options.zones[1])) {
            sim.RestartServer(name);
          }
        });
        sim.Run(absl::Seconds(20), 0.7);
        worst = std::max(worst, sim.totals().cold_overload);
      }
      fmt::print("cold {:10} {:12} overload {:.2f}\n", deployment, policy,
                 worst);
      CHECK(worst > 0);
    }
  }
}

TEST_CASE(
    "delivered worth while an availability zone is out and after its return",
    "[.measure][.zone]") {
  for (const char* deployment : kDeployments) {
    for (const char* policy : {"home", "least_loaded", "divided"}) {
      double share_before = 0;
      double share_during = 0;
      double share_after = 0;
      for (int seed = 1; seed <= kSeeds; ++seed) {
        SimOptions options = Deployment(deployment, seed);
        options.policy = policy;
        options.retry_share = options.policy == "home" ? 0.1 : 2;
        options.retry_burst = options.policy == "home" ? 10 : 1e6;
        Sim sim(options);
        const auto measure = [&](double& service) {
          sim.ResetMeasurements();
          sim.Run(absl::Seconds(8), 0.5);
          sim.RunWithoutNewRequests(absl::Seconds(2));
          service += sim.delivered_share("valtellina") / kSeeds;
        };
        sim.Run(kWarmUpRun, 0.5);
        measure(share_before);
        sim.SetZone(options.zones[1], config::ZoneState::kOut);
        sim.Run(absl::Seconds(3), 0.5);
        measure(share_during);
        for (const std::string& name : sim.server_names(options.zones[1])) {
          sim.RestartServer(name);
        }
        sim.SetZone(options.zones[1], config::ZoneState::kIn);
        measure(share_after);
      }
      fmt::print("zone {:10} {:12} steady {:.3f} away {:.3f} back {:.3f}\n",
                 deployment, policy, share_before, share_during, share_after);
      CHECK(share_before > 0);
    }
  }
}

}  // namespace
}  // namespace gcw::dispatch
