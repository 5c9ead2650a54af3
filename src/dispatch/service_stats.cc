#include "src/dispatch/service_stats.h"

#include <cmath>

namespace gcw::dispatch {
namespace {

constexpr double kServiceTimeWeight = 0.05;
constexpr double kShareHalfLifeSeconds = 5;

}  // namespace

void ServiceStats::AddServiceTime(absl::Duration time) {
  if (service_time_ == absl::ZeroDuration()) {
    service_time_ = time;
    return;
  }
  service_time_ += kServiceTimeWeight * (time - service_time_);
}

double FirmShares::Decayed(const Used& used, absl::Time now) {
  const double seconds = absl::ToDoubleSeconds(now - used.at);
  return used.seconds * std::exp2(-seconds / kShareHalfLifeSeconds);
}

void FirmShares::AddSlotTime(std::string_view firm,
                             absl::Duration time,
                             absl::Time now) {
  Used& used =
      firms_.try_emplace(std::string(firm), Used{0, now}).first->second;
  used.seconds = Decayed(used, now) + absl::ToDoubleSeconds(time);
  used.at = now;
}

double FirmShares::share(std::string_view firm, absl::Time now) const {
  double total = 0;
  double own = 0;
  for (const auto& [name, used] : firms_) {
    const double seconds = Decayed(used, now);
    total += seconds;
    own += name == firm ? seconds : 0;
  }
  return total > 0 ? own / total : 0;
}

}  // namespace gcw::dispatch
