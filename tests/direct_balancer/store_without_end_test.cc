#include <signal.h>

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "tests/direct_balancer/process_fixture.h"
#include "tests/support/endless_answers.h"

namespace gcw::direct_balancer {
namespace {

// A sixth of the memory that the platform gives a daemon at least.
constexpr std::int64_t kMaxResidentBytes = 60'000'000;
constexpr double kMaxProcessorShare = 0.5;  // Of one core.
constexpr absl::Duration kPeriod = absl::Seconds(5);

// A daemon whose store gives one bad answer to every call.
struct Run {
  std::string what;
  std::unique_ptr<RawServer> store;
  std::unique_ptr<lab::DaemonProcess> process;
};

std::vector<Run> StartAll(ProcessFixture& fixture,
                          const std::vector<test::EndlessAnswer>& answers) {
  std::vector<Run> runs;
  for (const test::EndlessAnswer& answer : answers) {
    Run run{answer.what, std::make_unique<RawServer>(answer.handler), nullptr};
    const auto daemon = static_cast<std::uint32_t>(runs.size());
    nlohmann::json settings = fixture.SettingsFileOf(daemon);
    settings["platform"] = ToString(run.store->endpoint());
    run.process = fixture.StartProcess(daemon, settings);
    runs.push_back(std::move(run));
  }
  return runs;
}

// Waits for kPeriod. Ends each process that exceeds its memory at once, so that
// it does not fill the machine.
void WatchMemory(std::vector<Run>& runs) {
  const absl::Time end = absl::Now() + kPeriod;
  while (absl::Now() < end) {
    for (Run& run : runs) {
      const auto usage = run.process->Usage();
      if (usage && usage->peak_resident_bytes >= kMaxResidentBytes) {
        run.process->Signal(SIGKILL);
      }
    }
    absl::SleepFor(absl::Milliseconds(20));
  }
}

// Checks what the process has used in kPeriod.
void CheckUsage(Run& run) {
  INFO(run.what);
  const auto usage = run.process->Usage();
  CHECK(usage);  // Nothing once it has exceeded its memory.
  if (usage) {
    CHECK(usage->peak_resident_bytes < kMaxResidentBytes);
    CHECK(absl::FDivDuration(usage->processor_time, kPeriod) <
          kMaxProcessorShare);
  }
}

// Plays each of `answers` to a daemon of its own for kPeriod, then stops the
// daemons.
void CheckHolds(const std::vector<test::EndlessAnswer>& answers) {
  ProcessFixture fixture;
  std::vector<Run> runs = StartAll(fixture, answers);
  WatchMemory(runs);
  for (Run& run : runs) {
    CheckUsage(run);
  }
  const absl::Time stop_by = absl::Now() + fixture.SettingsOf(0).stop_limit;
  for (Run& run : runs) {
    run.process->Signal(SIGTERM);
  }
  for (Run& run : runs) {
    INFO(run.what);
    CHECK(fixture.WaitForExit(*run.process, stop_by - absl::Now()) == 0);
  }
}

// A store, or what answers in its place, sent 3 GB in 5 s: the daemon kept all
// of it and used a full core.
TEST_CASE("a store whose answer never ends does not fill the daemon") {
  CheckHolds(test::EndlessAnswers());
}

// The log said only that the store was lost.
TEST_CASE("the log tells an answer without end from no answer") {
  ProcessFixture fixture;
  const std::string begin = "HTTP/1.1 200 OK\r\nContent-Length: ";
  std::vector<Run> runs = StartAll(
      fixture, {{"too large", test::Endless(begin + "1099511627776\r\n\r\n",
                                            std::string(16384, ' '))},
                {"no answer", test::Stopping("")}});
  CHECK(fixture.LogContains(0, R"("event":"store_call_failed")"));
  CHECK(fixture.LogContains(0, R"("code":205,"error":"the platform's answer)"));
  CHECK(fixture.LogContains(1, R"("code":200,"error":"no answer)"));
}

// Each part of the answer is valid, so the daemon decoded it until it was full.
TEST_CASE("a store whose list never ends does not fill the daemon") {
  CheckHolds(test::EndlessLists());
}

// The daemon decoded the first entries again at each attempt, and attempts were
// at most 1 s apart.
TEST_CASE(
    "a store whose list has entries without end does not stall the daemon") {
  CheckHolds(test::ListsOfEntriesWithoutEnd());
}

// A call whose answer comes byte by byte never ended.
TEST_CASE("a store whose answer is slow or stops does not stall the daemon") {
  CheckHolds(test::SlowAnswers());
}

}  // namespace
}  // namespace gcw::direct_balancer
