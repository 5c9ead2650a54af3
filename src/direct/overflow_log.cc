#include "src/direct/overflow_log.h"

#include <utility>

namespace gcw::direct {
namespace {

OverflowChanged MakeEvent(std::string_view service,
                          bool active,
                          const ZoneBalancer& balancer,
                          const FleetLoad& load,
                          absl::Time now) {
  OverflowChanged event{.service = std::string(service),
                        .active = active,
                        .share = balancer.overflow_share(service),
                        .load_age = load.age(now)};
  for (const ZoneLoadStats& zone : balancer.Stats()) {
    if (zone.service == service) {
      event.zones.push_back({zone.zone, zone.utilisation.value_or(-1)});
    }
  }
  return event;
}

}  // namespace

void OverflowLog::OnTick(const ZoneBalancer& balancer,
                         const FleetLoad& load,
                         absl::Time now) {
  CheckOverflow(balancer, load, now);
  CheckFigures(load, now);
}

void OverflowLog::CheckOverflow(const ZoneBalancer& balancer,
                                const FleetLoad& load,
                                absl::Time now) {
  for (const std::string_view service : balancer.OverflowingServices()) {
    const auto it = last_overflow_.find(service);
    if (it != last_overflow_.end()) {
      it->second = now;
      continue;
    }
    last_overflow_.emplace(service, now);
    events_->push_back(MakeEvent(service, true, balancer, load, now));
  }
  std::erase_if(last_overflow_, [&](const auto& item) {
    if (now - item.second < kEndAfter) {
      return false;
    }
    events_->push_back(MakeEvent(item.first, false, balancer, load, now));
    return true;
  });
}

void OverflowLog::CheckFigures(const FleetLoad& load, absl::Time now) {
  const bool recent = load.fresh(now);
  if (!had_figures_) {
    had_figures_ = recent;
    recent_ = recent;
    return;
  }
  if (recent == recent_) {
    differs_since_ = absl::InfiniteFuture();
    return;
  }
  if (differs_since_ == absl::InfiniteFuture()) {
    differs_since_ = now;
  }
  if (now - differs_since_ >= kSettled) {
    recent_ = recent;
    differs_since_ = absl::InfiniteFuture();
    events_->push_back(FleetLoadChanged{recent, load.age(now)});
  }
}

}  // namespace gcw::direct
