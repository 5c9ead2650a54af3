// Case: the operator takes an evacuation back. The servers of the zone have
// become cold shortly before and have told so.
//
// Usage: evacuation_end RECORD. With TROUBLE=0 the servers stay warm; with
// TROUBLE=later the evacuation ends when the daemons have read that they are
// cold.

#include <cstdlib>
#include <string>

#include "review/stand-ins-3/world.h"

namespace review3 {
namespace {

constexpr double kTrafficAt = 4.0;
constexpr double kEvacuateAt = 7.4;
constexpr double kColdAt = 14.0;
constexpr double kEnd = 22.0;
// From the last server's report to the end of the evacuation.
constexpr double kPause = 0.02;
constexpr double kLongPause = 0.45;

// Takes the evacuation back once the store has each server's report.
void TakeBackWhenReported(World& world, double pause) {
  for (const auto& server : world.servers) {
    if (server->zone() == "za" && !server->cold_reported()) {
      world.loop.After(0.01,
                       [&world, pause] { TakeBackWhenReported(world, pause); });
      return;
    }
  }
  world.loop.After(pause, [&world] {
    world.record.Say("the evacuation of za is taken back");
    world.store.Remove("evacuations", "za");
  });
}

int Run(const std::string& record_path, const std::string& trouble) {
  World world(record_path, {{"za", 4, 120}, {"zb", 3, 20}, {"zc", 3, 20}});
  if (!world.SetUp(kTrafficAt)) {
    return kNotRun;
  }
  world.PlanFlows(kTrafficAt, kEnd - 2.0);
  world.loop.At(kEvacuateAt, [&] {
    world.record.Say("za is evacuated");
    world.store.Put("evacuations", "za", Store::Json::object());
  });
  world.loop.At(kColdAt, [&] {
    for (const auto& server : world.servers) {
      if (trouble != "0" && server->zone() == "za") {
        server->BecomeCold(World::kWarmup);
      }
    }
    TakeBackWhenReported(world, trouble == "later" ? kLongPause : kPause);
  });
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
