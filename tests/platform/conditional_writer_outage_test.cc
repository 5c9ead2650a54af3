#include <fmt/format.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "absl/time/clock.h"
#include "gcw/platform/conditional_write.h"
#include "gcw/platform/http_platform_client.h"
#include "src/fake_platform/fake_platform.h"

namespace gcw::platform {
namespace {

using fake_platform::FakePlatform;
using fake_platform::Outage;

constexpr std::uint32_t kLoopback = 0x7f000001;
constexpr char kKey[] = "config/zone/a";
constexpr int kWritesPerWriter = 60;

// The operation ids of one writer, by the result of the operation.
struct WriteResults {
  std::set<std::string> accepted;
  std::set<std::string> refused;  // Must not have been made.
  std::set<std::string> unknown;  // May have been made.
};

// Makes kWritesPerWriter writes through a client of its own.
WriteResults WriteMany(const FakePlatform& platform, int writer) {
  const auto client =
      HttpPlatformClient::Make({.platform = platform.endpoint(),
                                .call_timeout = absl::Milliseconds(100)});
  ConditionalWriter writes(client.get(), {.time_limit = absl::Seconds(10)},
                           static_cast<std::uint64_t>(writer));
  WriteResults results;
  for (int i = 0; i < kWritesPerWriter; ++i) {
    const std::string op = fmt::format("w{}-{}", writer, i);
    const auto intent = [&op](const Object*) -> Result<DesiredState> {
      return DesiredState{nlohmann::json({{"op", op}}).dump()};
    };
    const Result<WriteOutcome> outcome =
        writes.Write({.key = kKey, .op = op, .intent = intent});
    if (outcome.ok()) {
      results.accepted.insert(op);
    } else if (outcome.error().code == ResultCode::kPlatformOutcomeUnknown) {
      results.unknown.insert(op);
    } else {
      results.refused.insert(op);
    }
  }
  return results;
}

// Three writers change the same object while the platform has short outages,
// loses answers and answers reads with old state. A retry must not make an
// operation twice, and the log must agree with the result that a writer got.
TEST_CASE("writes take effect once despite outages and lost answers") {
  auto made = FakePlatform::Make(
      {.listen = {kLoopback, 0}, .seed = 4, .limits = {1e6, 1e6}});
  REQUIRE(made.ok());
  const std::unique_ptr<FakePlatform> platform = std::move(made).value();
  REQUIRE(platform->Put(kKey, R"({"op":"start"})", 0).ok());
  platform->SaveStaleState();
  platform->SetLostAnswers(0.2);
  platform->SetStaleReads(0.1);

  std::vector<WriteResults> results(3);
  std::vector<std::thread> writers;
  for (int i = 0; i < 3; ++i) {
    writers.emplace_back([&, i] { results[i] = WriteMany(*platform, i); });
  }
  std::atomic<bool> done = false;
  std::thread faults([&] {
    for (int i = 0; !done; ++i) {
      absl::SleepFor(absl::Milliseconds(150));
      platform->SetOutage(i % 2 == 0 ? Outage::kSilent : Outage::kRefusing);
      absl::SleepFor(absl::Milliseconds(150));
      platform->SetOutage(Outage::kNone);
    }
  });
  for (std::thread& writer : writers) {
    writer.join();
  }
  done = true;
  faults.join();

  std::map<std::string, int> seen;
  const Result<WatchAnswer> log = platform->EventsAfter(kKey, 0);
  REQUIRE(log.ok());
  for (const WatchEvent& event : log.value().events) {
    ++seen[OperationIdOf(event.object.value)];
  }
  std::size_t accepted = 0;
  for (const WriteResults& answers : results) {
    accepted += answers.accepted.size();
    for (const std::string& op : answers.accepted) {
      INFO(op);
      CHECK(seen[op] == 1);
    }
    for (const std::string& op : answers.refused) {
      INFO(op);
      CHECK(seen[op] == 0);
    }
    for (const std::string& op : answers.unknown) {
      INFO(op);
      CHECK(seen[op] <= 1);
    }
  }
  // No write fails, because the time limit is far longer than an outage.
  CHECK(accepted == 3 * kWritesPerWriter);
}

}  // namespace
}  // namespace gcw::platform
