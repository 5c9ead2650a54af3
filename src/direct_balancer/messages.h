#ifndef GCW_DIRECT_BALANCER_MESSAGES_H_
#define GCW_DIRECT_BALANCER_MESSAGES_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "gcw/direct/direct_router.h"

namespace gcw::direct_balancer {

// The service of the packet task, by name.
inline constexpr std::string_view kPacketService = "packets";

struct ConfigurationRead {
  direct::Configuration configuration;
  direct::Version revision = 0;
};

// All entries of servers as of `revision`.
struct ServersListed {
  std::vector<direct::ServerReportPtr> reports;
  direct::Version revision = 0;
};

// All zones that are out as of `revision`.
struct ZonesOutRead {
  std::vector<std::string> zones;
  direct::Version revision = 0;
};

// What is held of this kind of state was the platform's at `confirmed`.
struct FeedConfirmed {
  direct::Feed feed = direct::Feed::kServers;
  absl::Time confirmed;
  bool by_platform = false;  // Answered here; otherwise another daemon says so.
};

// A call of this daemon to the platform failed.
struct FeedFailed {
  direct::Feed feed = direct::Feed::kServers;
  ResultCode code = ResultCode::kPlatformUnavailable;
};

struct FleetChanged {
  direct::FleetPosition place;
};

// What the packet task takes.
using PacketMessage = std::variant<ConfigurationRead,
                                   ServersListed,
                                   ZonesOutRead,
                                   FeedConfirmed,
                                   FeedFailed,
                                   FleetChanged>;

}  // namespace gcw::direct_balancer

#endif  // GCW_DIRECT_BALANCER_MESSAGES_H_
