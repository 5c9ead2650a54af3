#ifndef SRC_LAB_LAB_RUN_H_
#define SRC_LAB_LAB_RUN_H_

#include <cstdint>
#include <string>

#include "gcw/base/result.h"
#include "src/lab/report.h"
#include "src/lab/scenario.h"

namespace gcw::lab {

// How to run a scenario.
struct RunOptions {
  std::string scenario_path;  // Only copied into the report.
  std::uint64_t seed = 1;
  std::string policy = "tables";
  std::string dispatch_policy = "home";
  std::string bin_directory;  // Contains gcw-balancer.
  std::string keep_logs;      // Directory for daemons' logs; empty: not kept.
};

// Starts real daemons against emulated callers, backend servers, network and
// platform, plays `scenario` and measures. Takes a few seconds longer than the
// scenario's duration. Fails with kBindFailed or kInternal if
// something cannot be started.
Result<Report> RunScenario(const Scenario& scenario, const RunOptions& options);

}  // namespace gcw::lab

#endif  // SRC_LAB_LAB_RUN_H_
