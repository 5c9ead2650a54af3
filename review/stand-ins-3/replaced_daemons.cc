// Case: the site loses power for good. Others replace the machines of the
// daemons and the servers. The seeds still name the lost machines at first.
//
// Usage: replaced_daemons RECORD. With TROUBLE=0 nothing is lost; with
// TROUBLE=fresh the seeds name the new machines from the beginning.

#include <cstddef>
#include <cstdlib>
#include <string>

#include "review/stand-ins-3/world.h"

namespace review3 {
namespace {

constexpr double kTrafficAt = 4.0;
constexpr double kPowerLostAt = 6.0;
constexpr double kDaemonsAt = 8.0;
constexpr double kServersAt = 9.0;
// The bound `seed_lag_s` is 3.
constexpr double kSeedLag = 2.9;
constexpr double kEnd = 16.0;
constexpr std::size_t kZones = 3;
constexpr std::size_t kServers = 4;

int Run(const std::string& record_path, const std::string& trouble) {
  World world(record_path,
              {{"za", kServers, 40}, {"zb", 0, 40}, {"zc", 0, 40}});
  if (!world.SetUp(kTrafficAt)) {
    return kNotRun;
  }
  world.PlanFlows(kTrafficAt, kEnd - 2.0);
  if (trouble != "0") {
    world.loop.At(kPowerLostAt, [&] {
      world.record.Say("the site loses power");
      for (std::size_t i = 0; i < kZones; ++i) {
        world.daemons[i]->Kill();
        world.router.Forget(*world.daemons[i]);
      }
      for (const auto& server : world.servers) {
        server->Crash();
      }
    });
    const auto use_new_seeds = [&] {
      world.seeds.clear();
      for (std::size_t i = kZones; i < world.daemons.size(); ++i) {
        world.seeds.push_back(world.daemons[i]->control());
      }
    };
    world.loop.At(kDaemonsAt, [&] {
      for (std::size_t i = 0; i < kZones; ++i) {
        world.AddDaemon(world.daemons[i]->zone(), 11 + i);
      }
      if (trouble == "fresh") {
        use_new_seeds();
      }
      for (std::size_t i = kZones; i < world.daemons.size(); ++i) {
        world.StartDaemon(*world.daemons[i]);
      }
    });
    world.loop.At(kServersAt, [&] {
      for (std::size_t i = 0; i < kServers; ++i) {
        world.AddServer("za").Start(World::kWarmup);
      }
    });
    world.loop.At(kDaemonsAt + kSeedLag, [&] {
      world.record.Say("the settings name the new seeds");
      use_new_seeds();
      for (std::size_t i = kZones; i < world.daemons.size(); ++i) {
        world.daemons[i]->WriteSettings(world.seeds);
        world.daemons[i]->Reload();
      }
    });
  }
  world.loop.RunUntil(kEnd);
  return world.Judge(world.CountFlooded("za"));
}

}  // namespace
}  // namespace review3

int main(int argc, char** argv) {
  const char* trouble = std::getenv("TROUBLE");
  return argc == 2 ? review3::Run(argv[1], trouble == nullptr ? "1" : trouble)
                   : review3::kNotRun;
}
