#include "src/routing/placer.h"

#include <algorithm>

namespace gcw::routing {

namespace {

// Other servers looked at for a flow that the table's server does not admit.
constexpr std::uint64_t kAttempts = 12;
constexpr std::uint64_t kShareSalt = 0x7368617265ULL;

// Spreads `key` evenly over [0, 1).
double FractionOf(FlowKey key) {
  constexpr double kScale = 1.0 / 18446744073709551616.0;  // 2^-64
  return static_cast<double>(MixHash(key, kShareSalt)) * kScale;
}

}  // namespace

Placer::Placer(const RouterOptions& options, const ServerRegistry& registry)
    : options_(options), registry_(registry) {}

ServerIndex Placer::Choose(const ServiceTables& service,
                           const Bucket& bucket,
                           FlowKey key,
                           Tick tick,
                           absl::Time now) const {
  const ServerIndex first = bucket.current;
  if (bucket.settled || Admits(first, key, tick)) {
    return first;
  }
  if (registry_.alive(first) &&
      !service.MayDeviate(registry_.at(first).id, now)) {
    return first;
  }
  // Other keys of the same table keep the weights of the other servers.
  for (std::uint64_t attempt = 1; attempt <= kAttempts; ++attempt) {
    const ServerIndex other = service.Newest(MixHash(key, attempt));
    if (other != first && Admits(other, key, tick) &&
        registry_.at(other).takes_new) {
      return other;
    }
  }
  return first;
}

double Placer::ShareOf(ServerIndex server, Tick tick) const {
  const ServerLife& life = registry_.at(server);
  if (life.ramp_from == 0) {
    return life.hint;
  }
  const double seconds =
      tick < life.ramp_from
          ? 0.0
          : static_cast<double>(tick - life.ramp_from) / kTicksPerSecond;
  const double done =
      options_.ramp > absl::ZeroDuration()
          ? std::min(1.0, seconds / absl::ToDoubleSeconds(options_.ramp))
          : 1.0;
  const double ramped =
      options_.ramp_start + (1.0 - options_.ramp_start) * done;
  return std::min(life.hint, ramped);
}

bool Placer::Admits(ServerIndex server, FlowKey key, Tick tick) const {
  if (!registry_.alive(server)) {
    return false;
  }
  const ServerLife& life = registry_.at(server);
  const double share = ShareOf(server, tick);
  return share >= 1.0 || FractionOf(MixHash(key, life.id)) < share;
}

}  // namespace gcw::routing
