#ifndef SRC_LAB_MATRIX_H_
#define SRC_LAB_MATRIX_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "gcw/base/result.h"

namespace gcw::lab {

// The seeds from `first` to `last`, both included.
struct SeedRange {
  std::uint64_t first = 1;
  std::uint64_t last = 1;
};

// Which scenarios RunMatrix() runs, and how.
struct MatrixOptions {
  std::string program;  // Path of gcw-lab.
  std::string scenario_directory = "scenarios";
  std::string name_filter;  // Part of the file name; empty: all scenarios.
  std::string policy = "tables";
  std::string dispatch_policy = "home";
  SeedRange seeds;
  std::size_t jobs = 2;  // Runs at the same time.
};

// The worst value of one total (a measured value of a run that the scenario
// sets a bound for) over all seeds of a scenario on one deployment.
struct MatrixCell {
  std::string scenario;  // File name without its extension.
  std::string base;      // Name of the deployment.
  std::string total;     // Name of the measured value.
  double worst = 0;
  double bound = 0;
  bool at_least = false;  // Whether `bound` is a lower bound.
  bool ok = true;
  std::uint64_t worst_seed = 0;  // Seed of the run that gave `worst`.
};

// Parses "FIRST-LAST" or one number. Fails with kUsage. Thread-safe.
Result<SeedRange> ParseSeeds(std::string_view text);

// Merges the checks of `report` (JSON text of one run) into `cells`, which keep
// the worst value of each total. Fails with kMalformedJson.
// Thread-safe for distinct `cells`.
Status AddReport(std::string_view report, std::vector<MatrixCell>* cells);

// Formats a Markdown table with a row for each scenario and deployment and a
// column for each total (measured value with a bound). The cells of the table
// show the worst values. Thread-safe.
std::string ToTable(const std::vector<MatrixCell>& cells);

// Runs the scenarios of the directory with all their deployments and seeds,
// `jobs` at a time, and prints the table. Returns false if a bound was missed
// or a run failed. Fails with kScenarioInvalid if a scenario cannot be read.
Result<bool> RunMatrix(const MatrixOptions& options);

}  // namespace gcw::lab

#endif  // SRC_LAB_MATRIX_H_
