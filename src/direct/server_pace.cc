#include "src/direct/server_pace.h"

namespace gcw::direct {

void ServerPace::OnAnswer(const ServerEntry& /*server*/,
                          absl::Duration /*latency*/,
                          absl::Duration /*usual*/,
                          absl::Time /*now*/) {}
void ServerPace::OnStarted(const ServerEntry& /*server*/, absl::Time /*now*/) {}
void ServerPace::SetFleet(std::span<const load::ServerLoad> /*servers*/,
                          absl::Time /*now*/) {}
void ServerPace::OnTick(const ServerTable& /*servers*/, absl::Time /*now*/) {}

double ServerPace::share(FlowCookie /*server*/) const {
  return 1;
}
double ServerPace::slowness(FlowCookie /*server*/) const {
  return 1;
}
std::vector<load::ServerLoad> ServerPace::OwnFigures(
    const ServerTable& /*servers*/,
    absl::Time /*now*/) const {
  return {};
}

}  // namespace gcw::direct
