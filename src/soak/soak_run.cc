#include "src/soak/soak_run.h"

#include <memory>

#include "src/soak/deployment.h"
#include "src/soak/fault_player.h"
#include "src/soak/judge.h"

namespace gcw::soak {
namespace {

// Callers begin once the daemons had time to start.
constexpr absl::Duration kCallersBegin = absl::Seconds(1);

}  // namespace

Result<SoakReport> RunSoak(const SoakOptions& options) {
  Impairments impaired;
  Judge judge(options.length, impaired);
  auto made = Deployment::Make(options, judge);
  if (!made.ok()) {
    return made.error();
  }
  Deployment& deployment = *made.value();
  SoakReport report;
  report.plan = DrawPlan(options.seed, options.length);
  const absl::Time start = deployment.now();
  judge.Begin(deployment);
  FaultPlayer faults(deployment, impaired);
  faults.Play(report.plan);
  deployment.Housekeep();
  deployment.loop().After(kCallersBegin,
                          [&deployment] { deployment.StartCallers(); });
  deployment.loop().RunUntil(start + options.length);
  report.counts = judge.counts();
  report.counts.crashes = deployment.fleet().crashes();
  report.failures = Failures(report.counts);
  report.findings = judge.findings();
  return report;
}

}  // namespace gcw::soak
