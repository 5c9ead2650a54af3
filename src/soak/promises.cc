#include "src/soak/promises.h"

#include <fmt/format.h>

namespace gcw::soak {
namespace {

// Of the requests in the calm at the end.
constexpr double kCalmService = 0.98;
// Of all requests: most faults leave most servers in reach.
constexpr double kLeastService = 0.5;

double Share(std::uint64_t part, std::uint64_t whole) {
  return whole == 0 ? 0
                    : static_cast<double>(part) / static_cast<double>(whole);
}

}  // namespace

std::vector<std::string> Failures(const PromiseCounts& counts) {
  std::vector<std::string> failures;
  const auto none = [&](const char* name, std::uint64_t count) {
    if (count > 0) {
      failures.push_back(fmt::format("{} {}", name, count));
    }
  };
  const auto least = [&](const char* name, double share, double bound) {
    if (share < bound) {
      failures.push_back(fmt::format("{} {:.3f} under {}", name, share, bound));
    }
  };
  none("broken_flows", counts.broken_flows);
  none("changed_bytes", counts.changed_bytes);
  none("wrong_answers", counts.wrong_answers);
  none("run_twice", counts.run_twice);
  none("to_leaving_late", counts.to_leaving_late);
  none("to_out_zone_late", counts.to_out_zone_late);
  none("old_routes", counts.old_routes);
  none("crashes", counts.crashes);
  least("calm_service",
        Share(counts.fault_free_answered, counts.fault_free_requests),
        kCalmService);
  least("service", Share(counts.answered, counts.requests), kLeastService);
  return failures;
}

bool Impairments::Calm(const std::string& what, absl::Time now) const {
  const auto open = open_.find(what);
  if (open != open_.end() && open->second > 0) {
    return false;
  }
  const auto ended = ended_.find(what);
  return ended == ended_.end() || now - ended->second >= kSettle;
}

}  // namespace gcw::soak
