#ifndef SRC_LAB_MATRIX_H_
#define SRC_LAB_MATRIX_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "gcw/base/result.h"

namespace gcw::lab {

struct SeedRange {
  std::uint64_t first = 1;
  std::uint64_t last = 1;
};

struct MatrixOptions {
  std::string program;  // Path of gcw-lab.
  std::string scenario_directory = "scenarios";
  std::string name_filter;  // Part of the file name; empty: all.
  std::string policy = "tables";
  std::string dispatch_policy = "home";
  SeedRange seeds;
  std::size_t jobs = 2;
};

// What one scenario showed for one promise over all seeds.
struct MatrixCell {
  std::string scenario;  // File name without its ending.
  std::string base;
  std::string total;
  double worst = 0;
  double bound = 0;
  bool at_least = false;
  bool ok = true;
  std::uint64_t worst_seed = 0;
};

// "FIRST-LAST" or one number. Fails with kUsage. Thread-safe.
Result<SeedRange> ParseSeeds(std::string_view text);

// Adds a report (JSON text of one run) to `cells`. Fails with kMalformedJson.
// Thread-safe for distinct `cells`.
Status AddReport(std::string_view report, std::vector<MatrixCell>* cells);

// The table of scenario by promise, with the worst figures. Thread-safe.
std::string ToTable(const std::vector<MatrixCell>& cells);

// Plays every scenario of the folder for all its deployments and seeds, a few
// at a time, and prints the table. False if a bound was missed or a run
// failed. Fails with kScenarioInvalid if a scenario cannot be read.
Result<bool> RunMatrix(const MatrixOptions& options);

}  // namespace gcw::lab

#endif  // SRC_LAB_MATRIX_H_
