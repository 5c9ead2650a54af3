#include "src/lab/fabric.h"

#include <utility>

namespace gcw::lab {
namespace {

constexpr std::uint32_t kCallerNetworkIp = 0x0a000000;  // 10.0.0.0
// Callers of zone i have their addresses in the i-th /12 network of 10.0.0.0/8,
// which consists of 16 such networks.
constexpr int kZoneShift = 20;
constexpr std::uint32_t kZoneMask = 0xf;

}  // namespace

Fabric::Fabric(const World& world,
               Network& network,
               std::uint64_t seed,
               ToDaemon to_daemon)
    : world_(world),
      network_(network),
      random_(seed),
      to_daemon_(std::move(to_daemon)),
      sprayed_(world.topology().daemons.size(), false) {}

void Fabric::SetSprayed(DaemonIndex daemon, bool sprayed) {
  sprayed_[daemon] = sprayed;
}

std::optional<DaemonIndex> Fabric::Spray(ZoneIndex caller_zone,
                                         Bytes packet,
                                         std::optional<DaemonIndex> avoid) {
  std::vector<DaemonIndex> candidates;
  for (DaemonIndex i = 0; i < sprayed_.size(); ++i) {
    if (sprayed_[i] && i != avoid &&
        world_.Connected(caller_zone, world_.topology().daemons[i].zone)) {
      candidates.push_back(i);
    }
  }
  if (candidates.empty()) {
    return avoid ? Spray(caller_zone, std::move(packet)) : std::nullopt;
  }
  const DaemonIndex chosen = candidates[random_.Below(candidates.size())];
  network_.Carry(LinkKind::kCallers, caller_zone,
                 world_.topology().daemons[chosen].zone,
                 [this, chosen, packet = std::move(packet)] {
                   to_daemon_(chosen, packet);
                 });
  return chosen;
}

void Fabric::SendReply(DaemonIndex daemon,
                       std::span<const std::uint8_t> bytes,
                       const ToCaller& to_caller) {
  const auto packet = DecodePacket(bytes);
  if (!packet) {
    return;
  }
  const ZoneIndex zone = CallerZone(packet->destination.ip);
  if (zone >= world_.topology().zones.size()) {
    return;
  }
  network_.Carry(LinkKind::kCallers, world_.topology().daemons[daemon].zone,
                 zone, [to_caller, copy = Bytes(bytes.begin(), bytes.end())] {
                   to_caller(*DecodePacket(copy));
                 });
}

std::uint32_t Fabric::CallerNetwork(ZoneIndex zone) {
  return kCallerNetworkIp | static_cast<std::uint32_t>(zone) << kZoneShift;
}

ZoneIndex Fabric::CallerZone(std::uint32_t ip) {
  return (ip >> kZoneShift) & kZoneMask;
}

}  // namespace gcw::lab
