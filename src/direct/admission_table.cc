#include "src/direct/admission_table.h"

#include <algorithm>
#include <optional>

#include "gcw/base/hash.h"

namespace gcw::direct {
namespace {

// The number of requests that the reachable servers among `servers` can run at
// the same time (slots).
double SlotsOf(std::span<ServerEntry* const> servers) {
  std::uint64_t slots = 0;
  for (const ServerEntry* entry : servers) {
    const bool usable =
        entry->presence == Presence::kListed && entry->reach.usable();
    slots += usable ? entry->server.slots : 0;
  }
  return static_cast<double>(slots);
}

// The requests that run or queue at the reachable servers of `service`, per
// slot; 0 without such servers. With figures of the fleet, zones of which they
// tell nothing, or of which no server is reachable, count neither way: during a
// partition, requests would otherwise be divided by the slots of one side only.
double RequestsPerSlot(const ServerTable& servers,
                       std::string_view service,
                       const FleetLoad& load,
                       absl::Time now) {
  if (!load.fresh(now)) {
    const double slots = SlotsOf(servers.OfService(service));
    return slots == 0 ? 0 : load.Outstanding(service, now) / slots;
  }
  double requests = 0;
  double slots = 0;
  for (const ZoneServers& zone : servers.ZonesOfService(service)) {
    const double zone_slots = SlotsOf(zone.servers);
    const auto outstanding = load.Outstanding(service, zone.zone, now);
    if (zone_slots > 0 && outstanding) {
      requests += *outstanding;
      slots += zone_slots;
    }
  }
  return slots == 0 ? 0 : requests / slots;
}

}  // namespace

void AdmissionTable::SetServices(std::span<const Service> services) {
  for (const Service& service : services) {
    const std::uint64_t name_hash = StableHash(service.name);
    controllers_.try_emplace(service.name, MixHash(seed_, name_hash),
                             name_hash);
  }
  std::erase_if(controllers_, [&](const auto& item) {
    return std::none_of(
        services.begin(), services.end(),
        [&](const Service& service) { return service.name == item.first; });
  });
}

Admission AdmissionTable::Admit(std::string_view service,
                                const NewFlow& flow,
                                absl::Time now,
                                absl::Time wall_time) {
  const auto it = controllers_.find(service);
  return it == controllers_.end() ? Admission()
                                  : it->second.Admit(flow, now, wall_time);
}

double AdmissionTable::AdmittedShare(std::string_view service) const {
  const auto it = controllers_.find(service);
  return it == controllers_.end() ? 1 : it->second.admitted_share();
}

void AdmissionTable::OnAnswer(std::string_view service,
                              absl::Duration latency,
                              absl::Duration target) {
  const auto it = controllers_.find(service);
  if (it != controllers_.end() && target > absl::ZeroDuration()) {
    it->second.OnAnswer(latency, target);
  }
}

void AdmissionTable::OnTick(const ServerTable& servers,
                            const FleetLoad& load,
                            absl::Time now) {
  const bool fresh = load.fresh(now);
  const std::optional<absl::Duration> figures_age =
      fresh ? std::optional(load.age(now)) : std::nullopt;
  for (auto& [service, controller] : controllers_) {
    const double requests_per_slot =
        RequestsPerSlot(servers, service, load, now);
    const bool was_limited = controller.admitted_share() < 1;
    controller.OnTick(requests_per_slot, now, figures_age);
    const bool limited = controller.admitted_share() < 1;
    if (limited != was_limited) {
      events_->push_back(AdmissionChanged{service, limited, requests_per_slot,
                                          controller.admitted_share(), fresh});
    }
  }
}

}  // namespace gcw::direct
