#include "src/routing/placer.h"

#include <algorithm>

namespace gcw::routing {

namespace {

// Alternative servers that are tried for a flow that the server of the table
// does not admit.
constexpr std::uint64_t kMaxAlternatives = 12;
// Salt of the hash that decides whether a server admits a flow, so that the
// decision does not depend on the bucket of the flow.
constexpr std::uint64_t kShareSalt = 0x7368617265ULL;

// Maps `key` to a number that is evenly distributed over [0, 1).
double FractionOf(FlowKey key) {
  constexpr double kScale = 1.0 / 18446744073709551616.0;  // 2^-64
  return static_cast<double>(MixHash(key, kShareSalt)) * kScale;
}

}  // namespace

Placer::Placer(const RouterOptions& options, const ServerRegistry& registry)
    : options_(options), registry_(registry) {}

ServerIndex Placer::ChooseServer(const ServiceTables& service,
                                 const Bucket& bucket,
                                 FlowKey key,
                                 Tick tick,
                                 absl::Time now) const {
  const ServerIndex table_server = bucket.new_flow_server;
  if (bucket.settled || Admits(table_server, key, tick)) {
    return table_server;
  }
  if (registry_.accepts_packets(table_server) &&
      !service.MayDeviate(registry_.at(table_server).id, now)) {
    return table_server;
  }
  // Looking up rehashed keys in the same table chooses the other servers in
  // proportion to their weights.
  for (std::uint64_t attempt = 1; attempt <= kMaxAlternatives; ++attempt) {
    const ServerIndex alternative =
        service.NewestServerOf(MixHash(key, attempt));
    if (alternative != table_server && Admits(alternative, key, tick) &&
        registry_.at(alternative).accepts_new_flows) {
      return alternative;
    }
  }
  return table_server;
}

double Placer::ShareOf(ServerIndex server, Tick tick) const {
  const ServerIncarnation& incarnation = registry_.at(server);
  if (incarnation.ramp_start_tick == 0) {
    return incarnation.share_limit;
  }
  const double seconds =
      tick < incarnation.ramp_start_tick
          ? 0.0
          : static_cast<double>(tick - incarnation.ramp_start_tick) /
                kTicksPerSecond;
  const double progress =
      options_.ramp_duration > absl::ZeroDuration()
          ? std::min(1.0,
                     seconds / absl::ToDoubleSeconds(options_.ramp_duration))
          : 1.0;
  const double ramped =
      options_.ramp_start + (1.0 - options_.ramp_start) * progress;
  return std::min(incarnation.share_limit, ramped);
}

bool Placer::Admits(ServerIndex server, FlowKey key, Tick tick) const {
  if (!registry_.accepts_packets(server)) {
    return false;
  }
  const ServerIncarnation& incarnation = registry_.at(server);
  const double share = ShareOf(server, tick);
  return share >= 1.0 || FractionOf(MixHash(key, incarnation.id)) < share;
}

}  // namespace gcw::routing
