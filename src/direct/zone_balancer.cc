#include "src/direct/zone_balancer.h"

namespace gcw::direct {

ZoneBalancer::ZoneBalancer(std::string_view zone, std::uint64_t /*seed*/)
    : zone_(zone) {}

void ZoneBalancer::OnTick(const ServerTable& /*servers*/,
                          const FleetLoad& /*load*/,
                          const std::set<std::string, std::less<>>& /*out*/,
                          absl::Time /*now*/) {}

std::string_view ZoneBalancer::ChooseZone(std::string_view /*service*/) {
  return zone_;
}

double ZoneBalancer::overflow_share(std::string_view /*service*/) const {
  return 0;
}

}  // namespace gcw::direct
