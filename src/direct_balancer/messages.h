#ifndef GCW_DIRECT_BALANCER_MESSAGES_H_
#define GCW_DIRECT_BALANCER_MESSAGES_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "gcw/direct/direct_router.h"
#include "gcw/load/figures.h"

namespace gcw::direct_balancer {

// The name under which the packet task registers its mailbox with the kernel.
inline constexpr std::string_view kPacketService = "packets";

// A new configuration, as of the store's `revision`.
struct ConfigurationRead {
  direct::Configuration configuration;
  direct::Version revision = 0;
};

// All entries of backend servers as of the store's `revision`.
struct ServersListed {
  std::vector<direct::ServerReportPtr> reports;
  direct::Version revision = 0;
};

// All availability zones that operators have taken out of service, as of the
// store's `revision`: their servers get no new flows.
struct ZonesOutRead {
  std::vector<std::string> zones;
  direct::Version revision = 0;
};

// Servers that a peer has read and that the store lacks.
struct MissingServersTold {
  std::vector<direct::ServerReportPtr> reports;
};

// Zones that a peer keeps out of service although a restored store does not
// list them.
struct ZonesOutTold {
  std::vector<std::string> zones;
  absl::Time until;  // By kernel::MonotonicNow().
};

// This daemon's state of `feed` was equal to the platform's at `confirmed`.
struct FeedConfirmed {
  direct::Feed feed = direct::Feed::kServers;
  absl::Time confirmed;  // By kernel::MonotonicNow().
  // True if the platform answered a call of this daemon; false if another
  // daemon relayed the confirmation.
  bool by_platform = false;
};

// The last ServersListed includes all changes of the store up to `version`.
struct ServersInclude {
  direct::Version version = 0;
};

// A call of this daemon to the platform failed.
struct FeedFailed {
  direct::Feed feed = direct::Feed::kServers;
  ResultCode code = ResultCode::kPlatformUnavailable;
};

// The number of live daemons or this daemon's rank among them changed.
struct FleetChanged {
  direct::FleetPosition place;
};

// The load of all daemons together, as known when the message is sent.
struct FleetLoadSummed {
  load::FleetFigures figures;
  absl::Time summed;  // By kernel::MonotonicNow().
};

// The messages that the state task sends to the packet task.
using PacketMessage = std::variant<ConfigurationRead,
                                   ServersListed,
                                   ZonesOutRead,
                                   MissingServersTold,
                                   ZonesOutTold,
                                   FeedConfirmed,
                                   ServersInclude,
                                   FeedFailed,
                                   FleetChanged,
                                   FleetLoadSummed>;

// The name under which the state task registers its mailbox for
// ServersVersionWanted with the kernel.
inline constexpr std::string_view kServersVersionService = "servers-version";

// The packet task wants the list of servers to include all changes up to
// `version` without delay. It is answered by ServersInclude.
struct ServersVersionWanted {
  direct::Version version = 0;
};

// The name under which the state task registers its mailbox for OwnLoadMeasured
// with the kernel.
inline constexpr std::string_view kLoadService = "load";

// The load that the flows of this daemon put on the backend servers.
struct OwnLoadMeasured {
  load::Figures figures;
};

}  // namespace gcw::direct_balancer

#endif  // GCW_DIRECT_BALANCER_MESSAGES_H_
