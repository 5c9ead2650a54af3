#ifndef GCW_DIRECT_DEFERRED_REPORTS_H_
#define GCW_DIRECT_DEFERRED_REPORTS_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "gcw/direct/direct_router.h"

namespace gcw::direct {

// A report that the store lists although its server seems to have made it
// before the one that is held.
struct DeferredReport {
  ServerReportPtr report;
  absl::Time read_at;  // When the report was read.
  // The earliest time at which the server may have started as this incarnation.
  absl::Time running_since;
  absl::Time due;  // When it takes effect if the store still lists it.
};

// The deferred reports, at most one of each server. The store may execute a
// write seconds after a later one, so an earlier report is either a late write
// of a server that has written again or ended since, or the server's clock was
// set back before its last start. In the first case a living server soon
// replaces it, and the entry of a server that has ended expires; in the second
// case it stays. Has no I/O. Not thread-safe.
class DeferredReports {
 public:
  // Defers a report in place of its server's deferred report, if there is one.
  // The times of that one are kept if it is of the same incarnation. Returns
  // false if the report is deferred already.
  bool Defer(const DeferredReport& deferred);
  // Forgets the deferred report of the server `name`, if there is one.
  void Drop(std::string_view name);
  // Removes and returns the reports that were due at `confirmed`, when the
  // store was last known to list them.
  std::vector<DeferredReport> TakeDue(absl::Time confirmed);

 private:
  std::map<std::string, DeferredReport, std::less<>> by_name_;
};

}  // namespace gcw::direct

#endif  // GCW_DIRECT_DEFERRED_REPORTS_H_
