#ifndef SRC_LAB_LAB_RUN_H_
#define SRC_LAB_LAB_RUN_H_

#include <cstdint>
#include <string>

#include "gcw/base/result.h"
#include "src/lab/report.h"
#include "src/lab/scenario.h"

namespace gcw::lab {

struct RunOptions {
  std::string scenario_path;  // For the report.
  std::uint64_t seed = 1;
  std::string policy = "tables";
  std::string dispatch_policy = "home";
  std::string bin_directory;  // Holds gcw-balancer.
  std::string keep_logs;      // Folder for daemons' logs; empty: not kept.
};

// Starts the daemons, plays `scenario` against the stand-ins and measures.
// Takes about the scenario's duration. Fails with kBindFailed or kInternal if
// something cannot be started.
Result<Report> RunScenario(const Scenario& scenario, const RunOptions& options);

}  // namespace gcw::lab

#endif  // SRC_LAB_LAB_RUN_H_
