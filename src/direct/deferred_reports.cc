#include "src/direct/deferred_reports.h"

#include <utility>

namespace gcw::direct {

bool DeferredReports::Defer(const DeferredReport& deferred) {
  const ServerReport& report = *deferred.report;
  const auto [it, inserted] = by_name_.try_emplace(report.name, deferred);
  if (inserted) {
    return true;
  }
  const ServerReport& last = *it->second.report;
  if (last.revision == report.revision) {
    return false;
  }
  if (last.readable == report.readable &&
      last.server.incarnation == report.server.incarnation) {
    it->second.report = deferred.report;
    it->second.read_at = deferred.read_at;
  } else {
    it->second = deferred;
  }
  return true;
}

void DeferredReports::Drop(std::string_view name) {
  const auto it = by_name_.find(name);
  if (it != by_name_.end()) {
    by_name_.erase(it);
  }
}

std::vector<DeferredReport> DeferredReports::TakeDue(absl::Time confirmed) {
  std::vector<DeferredReport> due;
  for (auto it = by_name_.begin(); it != by_name_.end();) {
    if (it->second.due <= confirmed) {
      due.push_back(std::move(it->second));
      it = by_name_.erase(it);
    } else {
      ++it;
    }
  }
  return due;
}

}  // namespace gcw::direct
