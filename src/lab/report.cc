#include "src/lab/report.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

namespace gcw::lab {
namespace {

using Json = nlohmann::json;

// Factor for rounding the values in reports to four decimal places.
constexpr double kRoundingScale = 1e4;

Json RoundedNumber(double value) {
  if (value == std::floor(value) && std::abs(value) < 1e15) {
    return static_cast<std::int64_t>(value);
  }
  return std::round(value * kRoundingScale) / kRoundingScale;
}

Json NestByDots(const std::vector<Total>& totals) {
  Json nested = Json::object();
  for (const Total& total : totals) {
    std::string pointer = "/" + total.name;
    std::replace(pointer.begin(), pointer.end(), '.', '/');
    nested[Json::json_pointer(pointer)] = RoundedNumber(total.value);
  }
  return nested;
}

std::string DescribeBound(const Check& check) {
  return fmt::format("{} {}", check.bound.at_least ? "at least" : "at most",
                     RoundedNumber(check.bound.value).dump());
}

}  // namespace

bool Report::passed() const {
  return std::all_of(checks.begin(), checks.end(),
                     [](const Check& check) { return check.ok; });
}

std::vector<Check> EvaluateBounds(const std::vector<Bound>& bounds,
                                  const std::vector<Total>& totals) {
  std::vector<Check> checks;
  for (const Bound& bound : bounds) {
    const auto total =
        std::find_if(totals.begin(), totals.end(),
                     [&](const Total& t) { return t.name == bound.total; });
    Check check{bound, 0, false};
    if (total != totals.end()) {
      check.value = total->value;
      check.ok = bound.at_least ? total->value >= bound.value
                                : total->value <= bound.value;
    }
    checks.push_back(check);
  }
  return checks;
}

Json ToJson(const Report& report) {
  Json checks = Json::array();
  for (const Check& check : report.checks) {
    checks.push_back({{"total", check.bound.total},
                      {"value", RoundedNumber(check.value)},
                      {check.bound.at_least ? "at_least" : "at_most",
                       RoundedNumber(check.bound.value)},
                      {"ok", check.ok}});
  }
  Json notes = Json::array();
  for (const Note& note : report.notes) {
    notes.push_back({{"at_s", RoundedNumber(note.at_s)},
                     {"kind", note.kind},
                     {"text", note.text}});
  }
  return {{"scenario", report.scenario},
          {"base", report.base},
          {"seed", report.seed},
          {"policy", report.policy},
          {"dispatch_policy", report.dispatch_policy},
          {"duration_s", RoundedNumber(report.duration_s)},
          {"totals", NestByDots(report.totals)},
          {"checks", std::move(checks)},
          {"passed", report.passed()},
          {"notes", std::move(notes)}};
}

std::string ToText(const Report& report) {
  std::string text = fmt::format(
      "{} on {}, seed {}, policy {}/{}, {} s\n", report.scenario, report.base,
      report.seed, report.policy, report.dispatch_policy, report.duration_s);
  for (const Total& total : report.totals) {
    text += fmt::format("  {:<32} {:>12}", total.name,
                        RoundedNumber(total.value).dump());
    for (const Check& check : report.checks) {
      if (check.bound.total == total.name) {
        text += fmt::format("   {:<16} {}", DescribeBound(check),
                            check.ok ? "ok" : "MISSED");
      }
    }
    text += "\n";
  }
  for (const Note& note : report.notes) {
    text +=
        fmt::format("  {:8.3f} s  {}: {}\n", note.at_s, note.kind, note.text);
  }
  text += report.passed() ? "PASSED\n" : "FAILED\n";
  return text;
}

}  // namespace gcw::lab
