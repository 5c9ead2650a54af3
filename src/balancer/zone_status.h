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

// What one daemon reports of itself and of the backend servers that it is home
// to, drawn from what GET /status answers.
nlohmann::json ReportOf(const nlohmann::json& status);

// The members of `zone` that gather its status: the same two on every daemon
// with the same view. In order of name.
std::vector<std::string> StatusCandidates(
    std::span<const membership::Member> members,
    std::string_view zone);

// The status of one zone, put together from reports of its daemons. Pure; not
// thread-safe.
class ZoneStatus {
 public:
  explicit ZoneStatus(std::string zone);

  // Takes the report of `daemon`; one that is malformed is ignored.
  void Add(const std::string& daemon,
           const nlohmann::json& report,
           absl::Time now);

  // The value of the zone's status object. A daemon that is a live member but
  // has not reported lately is listed as silent; others are forgotten. `at` is
  // wall-clock time.
  nlohmann::json Build(std::span<const membership::Member> members,
                       absl::Time now,
                       absl::Time at);

 private:
  struct Report {
    nlohmann::json value;
    absl::Time received;
  };
  // When a value that operators watch last changed.
  struct Since {
    std::string value;
    absl::Time at;
  };

  std::string SinceOf(const std::string& key,
                      const std::string& value,
                      absl::Time at);
  void AddServers(const Report& report, absl::Time at, nlohmann::json* servers);

  const std::string zone_;
  std::map<std::string, Report> reports_;
  std::map<std::string, Since> since_;
};

}  // namespace gcw::balancer

#endif  // GCW_BALANCER_ZONE_STATUS_H_
