#ifndef SRC_LAB_REPORT_H_
#define SRC_LAB_REPORT_H_

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "src/lab/ledger.h"
#include "src/lab/scenario.h"

namespace gcw::lab {

// One measured value of a run, for example the number of broken flows.
struct Total {
  std::string name;  // Dotted, for example "flows.broken".
  double value = 0;
};

// The result of checking one Bound, a limit on a measured value of a run.
struct Check {
  Bound bound;
  double value = 0;  // Measured value of the Total that `bound` limits.
  bool ok = false;
};

// The results of one run of a scenario.
struct Report {
  std::string scenario;  // Path of the file.
  std::string base;      // Name of the deployment.
  std::uint64_t seed = 0;
  std::string policy;
  std::string dispatch_policy;
  double duration_s = 0;
  std::vector<Total> totals;
  std::vector<Check> checks;
  std::vector<Note> notes;

  // Whether the measured values kept every bound of the scenario.
  bool passed() const;
};

// Checks `totals` against `bounds`, in the order of the bounds. A bound on a
// total that is not in `totals` is missed. Thread-safe.
std::vector<Check> EvaluateBounds(const std::vector<Bound>& bounds,
                                  const std::vector<Total>& totals);

// Converts the report to JSON. The dots in the names of totals (measured
// values) become nested objects below "totals". Thread-safe.
nlohmann::json ToJson(const Report& report);
// Formats the report as text for people. Thread-safe.
std::string ToText(const Report& report);

}  // namespace gcw::lab

#endif  // SRC_LAB_REPORT_H_
