#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <string>

#include "tests/direct_balancer/process_fixture.h"

namespace gcw::direct_balancer {
namespace {

// The memory limit of a machine of gsv-valli, and what a daemon may take of it
// for the entries of another writer at most.
constexpr std::int64_t kMemoryLimitBytes = 390'000'000;
constexpr std::int64_t kMaxPeakBytes = kMemoryLimitBytes / 4;
// A server that drains gets no new flows after this time.
constexpr absl::Duration kDrainTime = absl::Seconds(3);

// Entries that another writer leaves in the store.
struct ForeignEntries {
  int count = 0;
  std::size_t bytes = 0;  // Of each.
};
constexpr ForeignEntries kFewLong{300, 900'000};
constexpr ForeignEntries kManyShort{20'000, 300};

// Leaves entries of another writer among the servers.
void AddForeignEntries(fake_platform::FakePlatform& platform,
                       const ForeignEntries& entries) {
  const std::string value =
      fmt::format(R"({{"note":"{}"}})", std::string(entries.bytes, 'x'));
  for (int i = 0; i < entries.count; ++i) {
    platform.PutRaw(fmt::format("servers/backup-{:05}", i), value);
  }
  platform.Compact();
}

// Changes the entry of a server to the state "draining".
void Drain(fake_platform::FakePlatform& platform, const std::string& key) {
  const auto entry = platform.Get(key);
  REQUIRE(entry.ok());
  auto value = nlohmann::json::parse(entry.value().value);
  value["state"] = "draining";
  value["sequence"] = 2;
  REQUIRE(platform.Put(key, value.dump(), entry.value().version).ok());
}

// The number of flows that a server that drains and the others get.
struct Placed {
  int drains = 0;
  int others = 0;
};

// Sends the first packets of `count` flows. Not all are placed, since the
// capacity of a server is limited.
Placed PlaceFlows(ProcessFixture& fixture, std::size_t drains, int count) {
  Placed placed;
  for (int i = 0; i < count; ++i) {
    fixture.SendPacket(0,
                       fixture.MakeSyn(static_cast<std::uint16_t>(40'000 + i)));
    const auto received = fixture.NextPacket(absl::Milliseconds(20));
    if (received) {
      ++(received->server == drains ? placed.drains : placed.others);
    }
  }
  return placed;
}

// Runs a daemon with `entries` of another writer among the servers, listed in
// pages of `page_bytes`.
void CheckDaemonWith(const ForeignEntries& entries, std::size_t page_bytes) {
  ProcessFixture fixture(page_bytes);
  const std::size_t stays = fixture.AddServer();
  AddForeignEntries(*fixture.platform, entries);
  const std::size_t drains = fixture.AddServer();
  const auto process = fixture.StartProcess(0);
  REQUIRE(fixture.BecomesReady(0));
  CHECK(fixture.EventuallyPlacesOn(stays, 0, 20'000));
  CHECK(fixture.EventuallyPlacesOn(drains, 0, 30'000));

  Drain(*fixture.platform, ProcessFixture::ServerKey(drains));
  // The flows so far may have taken all slots of the server that stays.
  fixture.AddServer();
  absl::SleepFor(kDrainTime);
  const Placed placed = PlaceFlows(fixture, drains, 100);
  CHECK(placed.drains == 0);
  CHECK(placed.others > 0);

  const auto usage = process->Usage();
  REQUIRE(usage);
  INFO(usage->peak_resident_bytes);
  CHECK(usage->peak_resident_bytes < kMaxPeakBytes);
  CHECK_FALSE(process->ExitCode());
}

// A daemon held such an answer whole: 524 MB at the peak, over the limit.
TEST_CASE("entries of another writer in one page do not fill a daemon") {
  CheckDaemonWith(kFewLong, 0);
}

TEST_CASE("entries of another writer in many pages do not fill a daemon") {
  CheckDaemonWith(kFewLong, 1'000'000);
}

// Their text was kept and copied: 80 MB at the peak.
TEST_CASE("many short entries of another writer do not fill a daemon") {
  CheckDaemonWith(kManyShort, 0);
}

}  // namespace
}  // namespace gcw::direct_balancer
