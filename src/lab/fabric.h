#ifndef SRC_LAB_FABRIC_H_
#define SRC_LAB_FABRIC_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <vector>

#include "src/lab/inner_packet.h"
#include "src/lab/network.h"
#include "src/lab/random.h"
#include "src/lab/world.h"

namespace gcw::lab {

// Emulates the network fabric in front of the daemons. It sends each packet of
// a caller to a random daemon among the ones it believes to be alive (packet
// spraying) and carries the daemons' replies back to callers. Not thread-safe.
class Fabric {
 public:
  using ToDaemon = std::function<void(DaemonIndex, Bytes packet)>;
  using ToCaller = std::function<void(const InnerPacket& packet)>;

  // `world` and `network` must outlive the fabric. `to_daemon` delivers a
  // packet to a daemon; `seed` determines the choice of daemons.
  Fabric(const World& world,
         Network& network,
         std::uint64_t seed,
         ToDaemon to_daemon);

  // Sets whether packets are sent to `daemon` from now on; initially false.
  void SetSprayed(DaemonIndex daemon, bool sprayed);

  // Sends a caller's packet to a random daemon that can be reached from
  // `caller_zone`, other than `avoid` if there is another. Returns the daemon,
  // or nothing if none can be reached.
  std::optional<DaemonIndex> Spray(
      ZoneIndex caller_zone,
      Bytes packet,
      std::optional<DaemonIndex> avoid = std::nullopt);

  // Carries the reply `bytes` of `daemon` to the caller and calls `to_caller`
  // with the decoded reply on arrival. A reply that cannot be decoded is
  // dropped.
  void SendReply(DaemonIndex daemon,
                 std::span<const std::uint8_t> bytes,
                 const ToCaller& to_caller);

  // The first address of the network that the zone's callers have their
  // addresses in.
  static std::uint32_t CallerNetwork(ZoneIndex zone);
  // The zone of the caller with the address `ip`.
  static ZoneIndex CallerZone(std::uint32_t ip);

 private:
  const World& world_;
  Network& network_;
  Random random_;
  ToDaemon to_daemon_;
  std::vector<bool> sprayed_;
};

}  // namespace gcw::lab

#endif  // SRC_LAB_FABRIC_H_
