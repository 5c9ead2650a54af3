#include "src/soak/load_watch.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <numeric>

#include "src/soak/invariant_checker.h"

namespace gcw::soak {
namespace {

// A zone above this utilisation has no room for flows of other zones.
constexpr double kMaxUtilisationWithRoom = 0.85;
// Smooths over about 0.5 s, which is as old as the daemons' figures.
constexpr double kSmoothing = 0.1;

// Whether all that the service depends on is in order and was so for
// Impairments::kSettleTime.
bool IsCalm(const Deployment& deployment, const Impairments& impairments) {
  const absl::Time now = deployment.now();
  for (const char* component :
       {"daemons", "fleet", "servers", "zones", "store"}) {
    if (!impairments.IsSettled(component, now)) {
      return false;
    }
  }
  for (std::size_t i = 0; i < Deployment::kZones; ++i) {
    if (deployment.ZoneOutSince(i)) {
      return false;
    }
  }
  for (std::size_t i = 0; i < deployment.servers().size(); ++i) {
    const ServerRecord& record = deployment.servers()[i];
    if (!record.in_service() || record.unreported ||
        !impairments.IsSettled(ServerName(i), now)) {
      return false;
    }
  }
  return true;
}

// Moves `since` to `now` if `holds` becomes true, and to the future if not.
void Track(bool holds, absl::Time now, absl::Time& since) {
  since = holds ? std::min(since, now) : absl::InfiniteFuture();
}

}  // namespace

void LoadWatch::Measure(const Deployment& deployment,
                        const Impairments& impairments) {
  const absl::Time now = deployment.now();
  std::array<double, Deployment::kZones> used{};
  std::array<double, Deployment::kZones> slots{};
  for (const ServerRecord& record : deployment.servers()) {
    used[record.zone] += static_cast<double>(record.server->running());
    slots[record.zone] += Server::kSlots;
  }
  for (std::size_t i = 0; i < Deployment::kZones; ++i) {
    utilisation_[i] += kSmoothing * (used[i] / slots[i] - utilisation_[i]);
  }
  const double mean =
      std::accumulate(utilisation_.begin(), utilisation_.end(), 0.0) /
      Deployment::kZones;
  const bool fleet_has_room =
      mean < kMaxUtilisationWithRoom && IsCalm(deployment, impairments);
  Track(fleet_has_room, now, fleet_since_);
  for (std::size_t zone = 0; zone < Deployment::kZones; ++zone) {
    bool others_have_room = false;
    for (std::size_t other = 0; other < Deployment::kZones; ++other) {
      others_have_room =
          others_have_room ||
          (other != zone && utilisation_[other] < kMaxUtilisationWithRoom);
    }
    Track(fleet_has_room && others_have_room, now, others_since_[zone]);
  }
}

std::string LoadWatch::ToString() const {
  return fmt::format("utilisation {:.2f}", fmt::join(utilisation_, ", "));
}

}  // namespace gcw::soak
