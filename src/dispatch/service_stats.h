#ifndef GCW_DISPATCH_SERVICE_STATS_H_
#define GCW_DISPATCH_SERVICE_STATS_H_

#include <map>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "src/dispatch/latency.h"

namespace gcw::dispatch {

// Latencies of one service on this daemon. Not thread-safe.
class ServiceStats {
 public:
  void AddQueueTime(absl::Duration time) { queue_.Add(time); }
  void AddAnswerTime(absl::Duration time) { answer_.Add(time); }

  // Adds the time that a server took from a request to its complete answer.
  void AddServiceTime(absl::Duration time);
  // Moving average of the service time; zero before the first answer.
  absl::Duration service_time() const { return service_time_; }

  LatencySummary queue() const { return queue_.summary(); }
  LatencySummary answer() const { return answer_.summary(); }

 private:
  LatencyHistogram queue_;
  LatencyHistogram answer_;
  absl::Duration service_time_;
};

using ServiceStatsMap = std::map<std::string, ServiceStats, std::less<>>;

// The slot time that each organisation used recently, so that requests of an
// organisation below its floor share can go first. Not thread-safe.
class OrganisationShares {
 public:
  void AddSlotTime(std::string_view organisation,
                   absl::Duration time,
                   absl::Time now);
  // The share of `organisation` in all recent slot time, 0 to 1.
  double share(std::string_view organisation, absl::Time now) const;

 private:
  struct SlotTime {
    double seconds = 0;
    absl::Time at;
  };
  static double Decayed(const SlotTime& slot_time, absl::Time now);

  std::map<std::string, SlotTime, std::less<>> organisations_;
};

}  // namespace gcw::dispatch

#endif  // GCW_DISPATCH_SERVICE_STATS_H_
