#include "src/direct_balancer/watcher_health.h"

#include <algorithm>

namespace gcw::direct_balancer {
namespace {

// Calls must fail for this long before a daemon reports itself unavailable, so
// that a single lost connection causes no report.
constexpr absl::Duration kMinFailureTime = absl::Milliseconds(600);
// While calls fail, the report is repeated at this interval.
constexpr absl::Duration kReportInterval = absl::Seconds(1);
// A report expires after this time, and its sender counts as able to watch
// again. Three report intervals, so that single lost reports do not matter.
constexpr absl::Duration kReportLifetime = absl::Seconds(3);

}  // namespace

void WatcherHealth::OnCallAnswered(direct::Feed feed) {
  failing_since_[static_cast<std::size_t>(feed)] = absl::InfiniteFuture();
}

void WatcherHealth::OnCallFailed(direct::Feed feed, absl::Time now) {
  absl::Time& since = failing_since_[static_cast<std::size_t>(feed)];
  since = std::min(since, now);
}

void WatcherHealth::OnNotWatching() {
  failing_since_.fill(absl::InfiniteFuture());
}

bool WatcherHealth::ShouldReportUnavailable(absl::Time now) {
  const absl::Time since =
      *std::min_element(failing_since_.begin(), failing_since_.end());
  if (now - since < kMinFailureTime ||
      now - last_report_sent_ < kReportInterval) {
    return false;
  }
  last_report_sent_ = now;
  return true;
}

bool WatcherHealth::OnUnavailableReport(const std::string& name,
                                        absl::Time now) {
  const bool changed = CanWatch(name, now);
  reports_[name] = now;
  return changed;
}

bool WatcherHealth::CanWatch(std::string_view name, absl::Time now) const {
  const auto it = reports_.find(name);
  return it == reports_.end() || now - it->second >= kReportLifetime;
}

bool WatcherHealth::OnTick(absl::Time now) {
  return std::erase_if(reports_, [&](const auto& entry) {
           return now - entry.second >= kReportLifetime;
         }) > 0;
}

}  // namespace gcw::direct_balancer
