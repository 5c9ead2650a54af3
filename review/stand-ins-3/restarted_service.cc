// Case: the servers of the smaller one of two services lose power for a moment.
// They start again under their ids and are cold. Nothing happens to the
// daemons.
//
// Usage: restarted_service RECORD. With TROUBLE=0 the servers keep their power.

#include <cstdlib>
#include <string>

#include "review/stand-ins-3/world.h"

namespace review3 {
namespace {

constexpr double kTrafficAt = 4.0;
constexpr double kArchiveAt = 7.5;
constexpr double kPowerLostAt = 10.0;
// The servers come back one after the other, the first one after 1.5 s.
constexpr double kPowerBackAt = 11.5;
constexpr double kApart = 0.05;
constexpr double kEnd = 20.0;
constexpr int kArchiveServers = 4;
// New flows a second in each zone to that service.
constexpr double kArchiveFlows = 40;

int Run(const std::string& record_path, bool trouble) {
  World world(record_path, {{"za", 4, 60}, {"zb", 4, 60}, {"zc", 4, 60}});
  for (int i = 0; i < kArchiveServers; ++i) {
    Server& server = world.AddServer("za", "archive");
    world.loop.At(0.3 * i, [&server] { server.Start(0); });
  }
  if (!world.SetUp(kTrafficAt)) {
    return kNotRun;
  }
  world.PutConfiguration(2, 2, true);
  world.PlanFlows(kTrafficAt, kEnd - 2.0);
  for (std::size_t zone = 0; zone < world.consumers.size(); ++zone) {
    world.PlanFlows(kArchiveAt, kEnd - 2.0, zone, kArchiveFlows, 1);
  }
  if (trouble) {
    double apart = 0;
    for (const auto& server : world.servers) {
      if (server->service() == "archive") {
        world.loop.At(kPowerLostAt, [&] { server->Crash(); });
        world.loop.At(kPowerBackAt + apart,
                      [&] { server->Start(World::kWarmup); });
        apart += kApart;
      }
    }
  }
  world.loop.RunUntil(kEnd);
  return world.Judge(world.CountFlooded("za", "archive"));
}

}  // namespace
}  // namespace review3

int main(int argc, char** argv) {
  const char* trouble = std::getenv("TROUBLE");
  return argc == 2 ? review3::Run(argv[1], trouble == nullptr ||
                                               std::string(trouble) != "0")
                   : review3::kNotRun;
}
