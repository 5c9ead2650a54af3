#include "src/direct/admission_table.h"

#include <algorithm>

#include "gcw/base/hash.h"

namespace gcw::direct {
namespace {

// Capacity and load of the reachable servers of one service: how many requests
// they can run at the same time (slots), and how many flows wait for an answer.
struct ServiceLoad {
  std::uint64_t slots = 0;
  std::uint64_t waiting_flows = 0;  // Only flows of this daemon.
};

ServiceLoad LoadOf(const ServerTable& servers, std::string_view service) {
  ServiceLoad load;
  for (const ServerEntry* entry : servers.OfService(service)) {
    const bool usable =
        entry->presence == Presence::kListed && entry->reach.usable();
    if (!usable) {
      continue;
    }
    load.slots += entry->server.slots;
    load.waiting_flows += entry->waiting_flows;
  }
  return load;
}

// Estimates the number of requests that all daemons of the fleet have at a
// service, per slot of its servers. Extrapolates from this daemon's flows,
// assuming that every daemon carries the same load.
double RequestsPerSlot(const ServiceLoad& load, std::uint32_t daemons) {
  if (load.slots == 0) {
    return 0;
  }
  return static_cast<double>(load.waiting_flows) * daemons /
         static_cast<double>(load.slots);
}

}  // namespace

void AdmissionTable::SetServices(std::span<const Service> services) {
  for (const Service& service : services) {
    controllers_.try_emplace(service.name,
                             MixHash(seed_, StableHash(service.name)));
  }
  std::erase_if(controllers_, [&](const auto& item) {
    return std::none_of(
        services.begin(), services.end(),
        [&](const Service& service) { return service.name == item.first; });
  });
}

bool AdmissionTable::Admit(std::string_view service, std::uint32_t priority) {
  const auto it = controllers_.find(service);
  return it == controllers_.end() || it->second.Admit(priority);
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
                            std::uint32_t daemons,
                            absl::Time now) {
  for (auto& [service, controller] : controllers_) {
    const double requests_per_slot =
        RequestsPerSlot(LoadOf(servers, service), daemons);
    const bool was_limited = controller.admitted_share() < 1;
    controller.OnTick(requests_per_slot, now);
    const bool limited = controller.admitted_share() < 1;
    if (limited != was_limited) {
      events_->push_back(AdmissionChanged{service, limited, requests_per_slot});
    }
  }
}

}  // namespace gcw::direct
