#ifndef GCW_SOAK_SOAK_RUN_H_
#define GCW_SOAK_SOAK_RUN_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "gcw/base/result.h"
#include "src/soak/invariants.h"
#include "src/soak/plan.h"

namespace gcw::soak {

// Parameters of one soak run.
struct SoakOptions {
  // Determines the fault plan, the callers' timing and the network faults.
  std::uint64_t seed = 1;
  // Duration of the run, without the kLoadPhase that follows if load patterns
  // are among the added faults.
  absl::Duration length = absl::Seconds(40);
  AddedFaults added{true, true, true, true, true, true, true};
  std::size_t daemons_per_zone = 2;
  std::size_t servers_per_zone = 4;
  std::size_t callers_per_zone = 20;
  std::string program;  // Path of the gcw-direct executable.
  // Existing directory for the daemons' settings files and logs.
  std::string work_dir;
};

// Result of one soak run.
struct SoakReport {
  std::vector<Fault> plan;
  InvariantCounts counts;
  // The invariants that the run violated, one line each; empty if it passed.
  std::vector<std::string> failures;
  // The first observed violations with their time and place, one line each.
  std::vector<std::string> findings;
};

// Runs real daemon processes in three availability zones under the fault plan
// of `options.seed`. Callers, backend servers and the store are simulated in
// this process. Blocks for `options.length` and the load
// phase. Fails with kBindFailed or
// kInternal if the deployment cannot start. Not thread-safe.
Result<SoakReport> RunSoak(const SoakOptions& options);

}  // namespace gcw::soak

#endif  // GCW_SOAK_SOAK_RUN_H_
