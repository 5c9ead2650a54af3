#include "src/soak/soak_run.h"

#include <algorithm>
#include <iterator>
#include <memory>

#include "src/soak/deployment.h"
#include "src/soak/fault_injector.h"
#include "src/soak/invariant_checker.h"

namespace gcw::soak {
namespace {

// Gives the daemons time to start before callers send requests.
constexpr absl::Duration kCallerStartDelay = absl::Seconds(1);

void RepeatMeasurement(Deployment& deployment, InvariantChecker& checker) {
  checker.MeasureLoad();
  deployment.loop().After(LoadWatch::kInterval, [&deployment, &checker] {
    RepeatMeasurement(deployment, checker);
  });
}

}  // namespace

Result<SoakReport> RunSoak(const SoakOptions& options) {
  Impairments impairments;
  InvariantChecker checker(options.length, impairments);
  auto created = Deployment::Make(options, checker);
  if (!created.ok()) {
    return created.error();
  }
  Deployment& deployment = *created.value();
  SoakReport report;
  report.plan = GeneratePlan(options.seed, options.length, options.added);
  absl::Duration length = options.length;
  if (options.added.load_patterns) {
    std::ranges::copy(GenerateLoadPhase(options.seed, length),
                      std::back_inserter(report.plan));
    length += kLoadPhase;
  }
  const absl::Time start = deployment.now();
  checker.Start(deployment);
  FaultInjector injector(deployment, impairments);
  injector.Schedule(report.plan);
  deployment.RunMaintenance();
  RepeatMeasurement(deployment, checker);
  deployment.loop().After(kCallerStartDelay,
                          [&deployment] { deployment.StartCallers(); });
  deployment.loop().RunUntil(start + length);
  report.counts = checker.counts();
  const Fleet& fleet = deployment.fleet();
  report.counts.crashes = fleet.crashes();
  report.counts.over_memory = fleet.watch().over_memory();
  report.counts.busy_windows = fleet.watch().busy_windows();
  report.counts.peak_resident_bytes = fleet.watch().peak_resident_bytes();
  report.failures = Failures(report.counts);
  report.findings = checker.findings();
  return report;
}

}  // namespace gcw::soak
