#ifndef GCW_BALANCER_ZONE_STATUS_H_
#define GCW_BALANCER_ZONE_STATUS_H_

#include <map>
#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "gcw/membership/member.h"

namespace gcw::balancer {

// The report that a daemon sends to the candidates of its zone: its own numbers
// and those of the backend servers whose home it is. The home of a backend
// server is the daemon that manages the server's request slots. `status` is the
// daemon's status as GET /status answers it. Thread-safe.
nlohmann::json MakeDaemonReport(const nlohmann::json& status);

// The two live members of `zone` that collect its status and compete for the
// lease to write it, sorted by name; fewer if the zone has fewer members.
// Daemons with the same view of the members choose the same two. Thread-safe.
std::vector<std::string> StatusWriterCandidates(
    std::span<const membership::Member> members,
    std::string_view zone);

// Builds the status of one availability zone from the reports of its daemons.
// Has no I/O; not thread-safe.
class ZoneStatus {
 public:
  explicit ZoneStatus(std::string zone);

  // Stores the report of `daemon`, received at `now`, in place of its earlier
  // one. Ignores a malformed report.
  void Add(const std::string& daemon,
           const nlohmann::json& report,
           absl::Time now);

  // The JSON value of the zone's status object. A live member that has not
  // reported recently is listed as "silent". Drops the reports of daemons that
  // are no longer live members. `now` is monotonic time, `wall_time` is
  // wall-clock time for the timestamps in the result.
  nlohmann::json Build(std::span<const membership::Member> members,
                       absl::Time now,
                       absl::Time wall_time);

 private:
  struct Report {
    nlohmann::json value;
    absl::Time received;
  };
  // A value in the status and when it last changed.
  struct TrackedValue {
    std::string value;
    absl::Time changed_at;  // Wall-clock time.
  };

  // Updates the tracked value `key` and returns the time of its last change as
  // text.
  std::string TrackChange(const std::string& key,
                          const std::string& value,
                          absl::Time wall_time);
  // Appends the servers of `report` to `servers`.
  void AddServers(const Report& report,
                  absl::Time wall_time,
                  nlohmann::json* servers);

  const std::string zone_;
  std::map<std::string, Report> reports_;
  std::map<std::string, TrackedValue> tracked_values_;
};

}  // namespace gcw::balancer

#endif  // GCW_BALANCER_ZONE_STATUS_H_
