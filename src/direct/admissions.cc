#include "src/direct/admissions.h"

#include <algorithm>

#include "gcw/base/hash.h"

namespace gcw::direct {
namespace {

// What waits at the usable servers of one service.
struct Waiting {
  std::uint64_t slots = 0;
  std::uint64_t busy = 0;
};

Waiting WaitingAt(const ServerTable& servers, std::string_view service) {
  Waiting waiting;
  for (const ServerEntry* entry : servers.OfService(service)) {
    const bool usable =
        entry->presence == Presence::kListed && entry->reach.usable();
    if (!usable) {
      continue;
    }
    waiting.slots += entry->server.slots;
    waiting.busy += entry->busy;
  }
  return waiting;
}

// For each slot, as if every daemon carried as much as this one.
double RequestsPerSlot(const Waiting& waiting, std::uint32_t daemons) {
  if (waiting.slots == 0) {
    return 0;
  }
  return static_cast<double>(waiting.busy) * daemons /
         static_cast<double>(waiting.slots);
}

}  // namespace

void Admissions::SetServices(std::span<const Service> services) {
  for (const Service& service : services) {
    by_service_.try_emplace(service.name,
                            MixHash(seed_, StableHash(service.name)));
  }
  std::erase_if(by_service_, [&](const auto& item) {
    return std::none_of(
        services.begin(), services.end(),
        [&](const Service& service) { return service.name == item.first; });
  });
}

bool Admissions::Admit(std::string_view service, std::uint32_t priority) {
  const auto it = by_service_.find(service);
  return it == by_service_.end() || it->second.Admit(priority);
}

double Admissions::ShareOf(std::string_view service) const {
  const auto it = by_service_.find(service);
  return it == by_service_.end() ? 1 : it->second.share();
}

void Admissions::OnAnswer(std::string_view service,
                          absl::Duration waited,
                          absl::Duration target) {
  const auto it = by_service_.find(service);
  if (it != by_service_.end() && target > absl::ZeroDuration()) {
    it->second.OnAnswer(waited, target);
  }
}

void Admissions::OnTick(const ServerTable& servers,
                        std::uint32_t daemons,
                        absl::Time now) {
  for (auto& [service, admission] : by_service_) {
    const double requests =
        RequestsPerSlot(WaitingAt(servers, service), daemons);
    const bool was_limited = admission.share() < 1;
    admission.OnTick(requests, now);
    const bool limited = admission.share() < 1;
    if (limited != was_limited) {
      events_->push_back(AdmissionChanged{service, limited, requests});
    }
  }
}

}  // namespace gcw::direct
