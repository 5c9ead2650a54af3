#include "src/lab/load_meter.h"

#include <algorithm>
#include <cmath>

namespace gcw::lab {
namespace {

// Servers that were in service for less than this share of the run are left out
// of the imbalance: so short a time says little about the balance.
constexpr double kMinEligibleShare = 0.3;

}  // namespace

LoadMeter::LoadMeter(const World& world)
    : world_(world),
      use_(world.topology().servers.size()),
      eligible_(world.topology().servers.size(), true),
      window_slot_seconds_(world.topology().servers.size()),
      answer_times_(world.topology().services.size()) {
  OpenWindow();
  for (ServerUse& use : use_) {
    use.flows.resize(world.topology().services.size());
  }
}

void LoadMeter::NewFlow(ServiceIndex service, ServerIndex server) {
  if (eligible_[server]) {
    ++use_[server].flows[service];
  }
}

void LoadMeter::RecordColdLoad(double load) {
  cold_overload_ = std::max(cold_overload_, load);
}

void LoadMeter::Sample(const std::vector<ServerLoad>& loads,
                       absl::Duration span) {
  const double seconds = absl::ToDoubleSeconds(span);
  sampled_s_ += seconds;
  for (ServerIndex i = 0; i < loads.size(); ++i) {
    const ZoneIndex zone = world_.topology().servers[i].zone;
    const bool in_service = world_.InService(i);
    eligible_[i] = in_service && !loads[i].cold && !world_.IsCut(zone);
    if (eligible_[i]) {
      use_[i].eligible_s += seconds;
      use_[i].slot_seconds +=
          seconds * loads[i].running / world_.topology().servers[i].slots;
    }
    if (in_service && world_.PathExists(zone, i)) {
      window_slot_seconds_[i] += seconds * loads[i].capacity;
    }
  }
}

void LoadMeter::OpenWindow() {
  const std::size_t services = world_.topology().services.size();
  windows_.push_back(
      {false, std::vector<double>(services), std::vector<double>(services)});
}

std::size_t LoadMeter::Offered(ServiceIndex service,
                               double worth,
                               absl::Duration work) {
  offers_.push_back({service, worth, absl::ToDoubleSeconds(work)});
  return windows_.size() - 1;
}

void LoadMeter::Delivered(ServiceIndex service,
                          double worth,
                          absl::Duration elapsed,
                          std::size_t window) {
  windows_[window].delivered[service] += worth;
  answer_times_[service].push_back(elapsed);
}

absl::Duration LoadMeter::AnswerTime(ServiceIndex service, double share) const {
  std::vector<absl::Duration> times = answer_times_[service];
  if (times.empty()) {
    return absl::ZeroDuration();
  }
  const auto rank = static_cast<std::size_t>(
      std::ceil(share * static_cast<double>(times.size())));
  const auto nth = times.begin() + static_cast<std::ptrdiff_t>(rank) - 1;
  std::nth_element(times.begin(), nth, times.end());
  return *nth;
}

void LoadMeter::EndWindow(bool settled) {
  // Services that share servers compete for slots: the slot-seconds of each
  // server are divided in proportion to the work offered to its services.
  const auto& services = world_.topology().services;
  std::vector<double> offered(services.size());
  for (const Offer& offer : offers_) {
    offered[offer.service] += offer.slot_seconds;
  }
  std::vector<double> slots(services.size());
  for (ServerIndex i = 0; i < window_slot_seconds_.size(); ++i) {
    double total = 0;
    for (const ServiceIndex s : world_.server(i).services) {
      total += offered[s] / static_cast<double>(services[s].servers.size());
    }
    for (const ServiceIndex s : world_.server(i).services) {
      const double part =
          offered[s] / static_cast<double>(services[s].servers.size());
      slots[s] += total > 0 ? window_slot_seconds_[i] * part / total : 0;
    }
    window_slot_seconds_[i] = 0;
  }
  for (ServiceIndex s = 0; s < services.size(); ++s) {
    AddServableWorth({s}, slots[s]);
  }
  offers_.clear();
  windows_.back().settled = settled;
  OpenWindow();
}

void LoadMeter::AddServableWorth(const std::vector<ServiceIndex>& services,
                                 double slot_seconds) {
  std::vector<Offer> offers;
  for (const Offer& offer : offers_) {
    if (std::find(services.begin(), services.end(), offer.service) !=
        services.end()) {
      offers.push_back(offer);
    }
  }
  std::sort(offers.begin(), offers.end(), [](const Offer& a, const Offer& b) {
    return a.worth * b.slot_seconds > b.worth * a.slot_seconds;
  });
  for (const Offer& offer : offers) {
    if (slot_seconds <= 0) {
      return;
    }
    const double share = offer.slot_seconds <= slot_seconds
                             ? 1
                             : slot_seconds / offer.slot_seconds;
    windows_.back().servable[offer.service] += offer.worth * share;
    slot_seconds -= offer.slot_seconds;
  }
}

bool LoadMeter::IsMeasured(ServerIndex server) const {
  return use_[server].eligible_s > kMinEligibleShare * sampled_s_;
}

double LoadMeter::Imbalance(ServiceIndex service,
                            double (*load)(const ServerUse&,
                                           ServiceIndex)) const {
  double total = 0;
  double total_s = 0;
  double largest = 0;
  for (const ServerIndex i : world_.topology().services[service].servers) {
    if (!IsMeasured(i)) {
      continue;
    }
    const double value = load(use_[i], service);
    total += value;
    total_s += use_[i].eligible_s;
    largest = std::max(largest, value / use_[i].eligible_s);
  }
  return total > 0 ? largest * total_s / total : 1;
}

double LoadMeter::FlowImbalance(ServiceIndex service) const {
  return Imbalance(service, [](const ServerUse& use, ServiceIndex s) {
    return static_cast<double>(use.flows[s]);
  });
}

double LoadMeter::SlotImbalance(ServiceIndex service) const {
  return Imbalance(service, [](const ServerUse& use, ServiceIndex) {
    return use.slot_seconds;
  });
}

double LoadMeter::ServiceShare(const std::string& organisation) const {
  return Share(organisation, false);
}

double LoadMeter::SettledServiceShare(const std::string& organisation) const {
  return Share(organisation, true);
}

double LoadMeter::Share(const std::string& organisation,
                        bool settled_only) const {
  double servable = 0;
  double delivered = 0;
  const auto& services = world_.topology().services;
  for (const Window& window : windows_) {
    for (ServiceIndex s = 0; s < services.size(); ++s) {
      if (services[s].organisation == organisation &&
          (window.settled || !settled_only)) {
        servable += window.servable[s];
        delivered += window.delivered[s];
      }
    }
  }
  return servable > 0 ? std::min(1.0, delivered / servable) : 1;
}

}  // namespace gcw::lab
