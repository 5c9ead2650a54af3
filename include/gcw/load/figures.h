#ifndef GCW_LOAD_FIGURES_H_
#define GCW_LOAD_FIGURES_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "absl/time/time.h"

namespace gcw::load {

// A hash of the name of a service or an availability zone, the same in every
// process and release. Stands for the name in messages.
using NameHash = std::uint32_t;

// The hash of `name`. Thread-safe.
NameHash HashName(std::string_view name);

// The load of the backend servers of one service in one availability zone.
struct ZoneLoad {
  NameHash service = 0;
  NameHash zone = 0;  // Of the backend servers.
  // Requests that run or queue at the servers.
  std::uint32_t outstanding = 0;
  std::uint32_t open_flows = 0;  // With or without a request.
  // New flows per second that were placed on the servers, and that were refused
  // because the service was overloaded. Refused flows count for the daemon's
  // own zone.
  std::uint32_t placed_per_second = 0;
  std::uint32_t refused_per_second = 0;

  bool operator==(const ZoneLoad&) const = default;
};

// The load and the pace of one backend server.
struct ServerLoad {
  std::uint32_t server = 0;       // direct::FlowCookie of the incarnation.
  std::uint32_t outstanding = 0;  // Requests that run or queue.
  // Answers within the last kServerWindow.
  std::uint32_t answers = 0;
  // Sum over these answers of the latency, divided by the usual latency of the
  // route, in units of 1/kSlownessUnit. A server that is as fast as the others
  // has a mean of kSlownessUnit.
  std::uint32_t slowness = 0;

  bool operator==(const ServerLoad&) const = default;
};

// Figures of other daemons that are older than this are not used: the load of a
// service may have changed several times since then.
inline constexpr absl::Duration kMaxFiguresAge = absl::Milliseconds(1500);
// The time over which ServerLoad counts answers.
inline constexpr absl::Duration kServerWindow = absl::Seconds(2);
// The fixed-point unit of ServerLoad::slowness: a slowness of 1.
inline constexpr std::uint32_t kSlownessUnit = 16;

// The load that some daemons put on the backend servers: of one daemon, or the
// sum over several.
struct Figures {
  std::uint32_t daemons = 1;  // Whose load is included.
  std::vector<ZoneLoad> zones;
  // Only servers whose load or pace is worth telling.
  std::vector<ServerLoad> servers;

  bool operator==(const Figures&) const = default;
};

// The part of the fleet's figures that comes from the daemons of one zone.
struct Coverage {
  NameHash zone = 0;          // Of the daemons.
  std::uint32_t daemons = 0;  // Whose load is included.
  absl::Duration age;         // Of the oldest load that is included.

  bool operator==(const Coverage&) const = default;
};

// The load of all daemons of the fleet, as one daemon knows it.
struct FleetFigures {
  Figures sum;
  // Sorted by zone. Lacks zones from which nothing recent was heard.
  std::vector<Coverage> coverage;

  bool operator==(const FleetFigures&) const = default;
};

}  // namespace gcw::load

#endif  // GCW_LOAD_FIGURES_H_
