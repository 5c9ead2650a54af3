#include "src/dispatch/service_stats.h"

#include <cmath>

namespace gcw::dispatch {
namespace {

// Weight of a new value in the moving average of the service time.
constexpr double kServiceTimeWeight = 0.05;
// Half-life of used slot time in OrganisationShares.
constexpr double kShareHalfLifeSeconds = 5;

}  // namespace

void ServiceStats::AddServiceTime(absl::Duration time) {
  if (service_time_ == absl::ZeroDuration()) {
    service_time_ = time;
    return;
  }
  service_time_ += kServiceTimeWeight * (time - service_time_);
}

double OrganisationShares::Decayed(const SlotTime& slot_time, absl::Time now) {
  const double seconds = absl::ToDoubleSeconds(now - slot_time.at);
  return slot_time.seconds * std::exp2(-seconds / kShareHalfLifeSeconds);
}

void OrganisationShares::AddSlotTime(std::string_view organisation,
                                     absl::Duration time,
                                     absl::Time now) {
  SlotTime& slot_time =
      organisations_.try_emplace(std::string(organisation), SlotTime{0, now})
          .first->second;
  slot_time.seconds = Decayed(slot_time, now) + absl::ToDoubleSeconds(time);
  slot_time.at = now;
}

double OrganisationShares::share(std::string_view organisation,
                                 absl::Time now) const {
  double total = 0;
  double own = 0;
  for (const auto& [name, slot_time] : organisations_) {
    const double seconds = Decayed(slot_time, now);
    total += seconds;
    own += name == organisation ? seconds : 0;
  }
  return total > 0 ? own / total : 0;
}

}  // namespace gcw::dispatch
