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

// The fabric: hands each packet of a caller to any daemon that it believes to
// live, and carries replies back. Not thread-safe.
class Fabric {
 public:
  using ToDaemon = std::function<void(DaemonIndex, Bytes packet)>;
  using ToCaller = std::function<void(const InnerPacket& packet)>;

  Fabric(const World& world,
         Network& network,
         std::uint64_t seed,
         ToDaemon to_daemon);

  // Whether packets are sprayed to `daemon` from now on.
  void SetSprayed(DaemonIndex daemon, bool sprayed);

  // Sends a caller's packet; `avoid` is not chosen if there is another.
  // Returns the daemon that was chosen, or nothing if there is none.
  std::optional<DaemonIndex> Spray(
      ZoneIndex caller_zone,
      Bytes packet,
      std::optional<DaemonIndex> avoid = std::nullopt);

  // A daemon sent a reply; it reaches the caller by `to_caller`.
  void SendReply(DaemonIndex daemon,
                 std::span<const std::uint8_t> bytes,
                 const ToCaller& to_caller);

  // Callers of a zone have addresses in a network of their own.
  static std::uint32_t CallerNetwork(ZoneIndex zone);
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
