#ifndef SRC_LAB_REPORT_H_
#define SRC_LAB_REPORT_H_

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "src/lab/ledger.h"
#include "src/lab/scenario.h"

namespace gcw::lab {

struct Total {
  std::string name;  // Dotted, for example "flows.broken".
  double value = 0;
};

// Whether one bound was kept.
struct Check {
  Bound bound;
  double value = 0;
  bool ok = false;
};

struct Report {
  std::string scenario;  // Path of the file.
  std::string base;
  std::uint64_t seed = 0;
  std::string policy;
  std::string dispatch_policy;
  double duration_s = 0;
  std::vector<Total> totals;
  std::vector<Check> checks;
  std::vector<Note> notes;

  bool passed() const;
};

// Judges `totals`; a bound on a total that is absent is missed. Thread-safe.
std::vector<Check> EvaluateBounds(const std::vector<Bound>& bounds,
                                  const std::vector<Total>& totals);

// The report as JSON; "totals" is nested by the dots. Thread-safe.
nlohmann::json ToJson(const Report& report);
// A summary for people. Thread-safe.
std::string ToText(const Report& report);

}  // namespace gcw::lab

#endif  // SRC_LAB_REPORT_H_
