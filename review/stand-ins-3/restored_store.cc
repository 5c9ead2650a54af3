// Case: the store comes back from a copy, and the operator writes again one by
// one the manifests that the copy lacks.
//
// Usage: restored_store RECORD. With TROUBLE=0 the store is not away; with
// TROUBLE=last the operator writes only the last manifest again.

#include <cstdint>
#include <cstdlib>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "review/stand-ins-3/world.h"

namespace review3 {
namespace {

constexpr double kTrafficAt = 4.0;
// Manifests in quick succession, one more route each.
constexpr double kStormAt = 12.0;
constexpr double kStormGap = 0.33;
constexpr int kStormVersions = 12;
constexpr double kAwayAt = 17.0;
constexpr double kAway = 2.0;
constexpr double kCopyAge = 9.0;
// The operator begins to write again this long after the store is back. Then
// the pages' `stability_window_ms` of 4 s is over before a manifest is lost
// again.
constexpr double kRewriteDelay = 3.5;
constexpr double kEnd = 33.0;
constexpr double kFlowsPerSecond = 40;
// A route is used from this time after its manifest was confirmed.
constexpr double kConfigApply = 3.0;
constexpr double kRollbackSlack = 0.25;
// Each fourth flow stays open and carries a second request after this time.
constexpr double kPause = 5.0;

// The manifests 2, 3, ... of the storm, which begins at `begin`.
void PlanStorm(World& world, double begin, int first, int last) {
  for (int version = first; version <= last; ++version) {
    world.loop.At(begin + kStormGap * (version - first), [&world, version] {
      world.record.Say("the operator writes manifest " +
                       std::to_string(version));
      world.PutConfiguration(version, static_cast<std::uint32_t>(version));
    });
  }
}

int Run(const std::string& record_path, const std::string& trouble) {
  World world(record_path, {{"za", 4, 0}, {"zb", 3, 0}, {"zc", 3, 0}});
  if (!world.SetUp(kTrafficAt)) {
    return kNotRun;
  }
  // When a server first showed the effect of a route's manifest through a
  // daemon: it ran a request of that route.
  std::map<std::pair<std::string, Address>, double> seen;
  int regressed = 0;
  for (const auto& consumer : world.consumers) {
    consumer->on_first_answer = [&](const FlowKey& flow, const std::string& via,
                                    double) {
      seen.try_emplace({via, flow.second}, world.loop.now());
    };
    consumer->on_refused = [&](const FlowKey& flow, const std::string& via,
                               double began) {
      const auto it = seen.find({via, flow.second});
      if (it != seen.end() && began > it->second + kRollbackSlack) {
        ++regressed;
        world.record.Line(Text(flow) + ": refused by " + via +
                          ", through which its route was served " +
                          std::to_string(began - it->second) +
                          " s before: CONFIG is broken");
      }
    };
  }
  std::uniform_int_distribution<std::uint32_t> any(0, kStormVersions);
  double at = kTrafficAt;
  for (std::uint32_t i = 0; at < kEnd - 6.0; ++i, at += 1 / kFlowsPerSecond) {
    const std::uint32_t route = any(world.random);
    const double in_force =
        route == 0 ? 0 : kStormAt + kStormGap * route + kConfigApply;
    const std::size_t consumer = i % world.consumers.size();
    const std::vector<double> pauses(i % 4 == 0 ? 1 : 0, kPause);
    world.loop.At(at, [&world, consumer, route, at, in_force, pauses] {
      world.consumers[consumer]->OpenFlow(
          world.Route(at < in_force ? 0 : route), pauses);
    });
  }
  PlanStorm(world, kStormAt, 2, kStormVersions + 1);
  if (trouble != "0") {
    world.loop.At(kAwayAt, [&] {
      world.record.Say("the store is away");
      world.store.Close();
    });
    world.loop.At(kAwayAt + kAway, [&] {
      world.record.Say("the store is back, from a copy");
      world.store.Restore(kAwayAt + kAway - kCopyAge);
    });
    PlanStorm(world, kAwayAt + kAway + kRewriteDelay,
              trouble == "last" ? kStormVersions + 1 : 2, kStormVersions + 1);
  }
  world.loop.RunUntil(kEnd);
  return world.Judge(regressed);
}

}  // namespace
}  // namespace review3

int main(int argc, char** argv) {
  const char* trouble = std::getenv("TROUBLE");
  return argc == 2 ? review3::Run(argv[1], trouble == nullptr ? "1" : trouble)
                   : review3::kNotRun;
}
