#include "src/lab/network.h"

namespace gcw::lab {
namespace {

// Extra delay of a reordered packet, and the longest extra delay of a
// duplicated packet.
constexpr absl::Duration kReorderDelay = absl::Milliseconds(20);
// Time that TCP takes to retransmit a lost segment.
constexpr absl::Duration kStreamRetransmission = absl::Milliseconds(200);

}  // namespace

Network::Network(Scheduler& scheduler, const World& world, std::uint64_t seed)
    : scheduler_(scheduler), world_(world), random_(seed) {}

void Network::Carry(LinkKind kind,
                    ZoneIndex from,
                    ZoneIndex to,
                    std::function<void()> deliver) {
  if (!world_.Connected(from, to)) {
    return;
  }
  const LinkFaults faults = FindFaults(kind, from, to);
  if (faults.loss > 0 && random_.Chance(faults.loss)) {
    return;
  }
  absl::Duration delay = BaseDelay(kind, from, to) + faults.delay;
  if (faults.jitter > absl::ZeroDuration()) {
    delay += faults.jitter * random_.Uniform();
  }
  if (faults.reorder > 0 && random_.Chance(faults.reorder)) {
    delay += kReorderDelay;
  }
  if (faults.duplicate > 0 && random_.Chance(faults.duplicate)) {
    DeliverOnce(delay + kReorderDelay * random_.Uniform(), deliver);
  }
  DeliverOnce(delay, std::move(deliver));
}

absl::Duration Network::StreamDelay(LinkKind kind,
                                    ZoneIndex from,
                                    ZoneIndex to) {
  const LinkFaults faults = FindFaults(kind, from, to);
  absl::Duration delay = BaseDelay(kind, from, to) + faults.delay;
  if (faults.jitter > absl::ZeroDuration()) {
    delay += faults.jitter * random_.Uniform();
  }
  if (faults.loss > 0 && random_.Chance(faults.loss)) {
    delay += kStreamRetransmission;
  }
  return delay;
}

LinkFaults Network::FindFaults(LinkKind kind,
                               ZoneIndex from,
                               ZoneIndex to) const {
  // The last matching rule applies, so that a later event overrides earlier
  // events.
  for (auto rule = rules_.rbegin(); rule != rules_.rend(); ++rule) {
    const bool fits = !rule->zones || *rule->zones == std::pair(from, to) ||
                      *rule->zones == std::pair(to, from);
    if (rule->kind == kind && fits) {
      return rule->faults;
    }
  }
  return {};
}

absl::Duration Network::BaseDelay(LinkKind kind,
                                  ZoneIndex from,
                                  ZoneIndex to) const {
  if (kind == LinkKind::kCallers) {
    return world_.topology().caller_delay;
  }
  return from == to ? absl::ZeroDuration() : world_.topology().zone_delay;
}

void Network::DeliverOnce(absl::Duration delay, std::function<void()> deliver) {
  if (delay <= absl::ZeroDuration()) {
    deliver();
    return;
  }
  scheduler_.After(delay, std::move(deliver));
}

}  // namespace gcw::lab
