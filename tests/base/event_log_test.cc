#include "gcw/base/event_log.h"

#include <fcntl.h>
#include <signal.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "absl/time/clock.h"

namespace gcw {
namespace {

struct Pipe {
  Pipe() { REQUIRE(pipe(ends) == 0); }
  ~Pipe() {
    close(ends[0]);
    close(ends[1]);
  }
  int ends[2] = {-1, -1};
};

std::string ReadAll(int fd) {
  std::string text;
  char buffer[4096];
  for (;;) {
    const ssize_t bytes_read = read(fd, buffer, sizeof(buffer));
    if (bytes_read <= 0) {
      return text;
    }
    text.append(buffer, static_cast<std::size_t>(bytes_read));
  }
}

std::vector<nlohmann::json> Lines(const std::string& text) {
  std::vector<nlohmann::json> lines;
  std::istringstream in(text);
  for (std::string line; std::getline(in, line);) {
    lines.push_back(nlohmann::json::parse(line));
  }
  return lines;
}

TEST_CASE("lines are JSON objects with time, level, part and event") {
  Pipe pipe;
  {
    auto log = EventLog::Make({.descriptor = pipe.ends[1]});
    REQUIRE(log.ok());
    REQUIRE(log.value()->Admit(LogLevel::kWarning, "thing"));
    log.value()->Write(LogLevel::kWarning, "part", "thing",
                       {{"name", "a\nb\xff"}, {"count", 3}});
    CHECK_FALSE(log.value()->Admit(LogLevel::kDebug, "thing"));
  }
  close(pipe.ends[1]);
  const auto lines = Lines(ReadAll(pipe.ends[0]));
  REQUIRE(lines.size() == 1);
  CHECK(lines[0]["level"] == "warning");
  CHECK(lines[0]["part"] == "part");
  CHECK(lines[0]["event"] == "thing");
  CHECK(lines[0]["count"] == 3);
  CHECK(lines[0].contains("time_us"));
}

TEST_CASE(
    "lines over the rate limit are counted in the next line of the event") {
  Pipe pipe;
  {
    auto log =
        EventLog::Make({.descriptor = pipe.ends[1], .lines_per_second = 5});
    REQUIRE(log.ok());
    int admitted = 0;
    for (int i = 0; i < 50; ++i) {
      if (log.value()->Admit(LogLevel::kInfo, "frequent")) {
        ++admitted;
        log.value()->Write(LogLevel::kInfo, "p", "frequent", {{"i", i}});
      }
    }
    CHECK(admitted == 5);
    CHECK(log.value()->Admit(LogLevel::kInfo, "rare"));
    absl::SleepFor(absl::Milliseconds(400));
    REQUIRE(log.value()->Admit(LogLevel::kInfo, "frequent"));
    log.value()->Write(LogLevel::kInfo, "p", "frequent", {{"i", 99}});
    CHECK(log.value()->stats().suppressed == 45);
  }
  close(pipe.ends[1]);
  const auto lines = Lines(ReadAll(pipe.ends[0]));
  CHECK(lines.back()["suppressed"] == 45);
}

TEST_CASE("a reader that stops reading does not block logging") {
  Pipe pipe;
  auto log = EventLog::Make({.descriptor = pipe.ends[1],
                             .queue_bytes = 10'000,
                             .lines_per_second = 1e6});
  REQUIRE(log.ok());
  const absl::Time start = absl::Now();
  for (int i = 0; i < 20'000; ++i) {
    if (log.value()->Admit(LogLevel::kInfo, "event")) {
      log.value()->Write(LogLevel::kInfo, "p", "event", {{"i", i}});
    }
  }
  CHECK(absl::Now() - start < absl::Seconds(5));
  const EventLogStats stats = log.value()->stats();
  CHECK(stats.overflowed + stats.suppressed > 0);
  CHECK(stats.queued_bytes <= 10'000);
  // Empties the pipe, so that the writing thread can finish.
  std::thread reader([&] { ReadAll(pipe.ends[0]); });
  log.value().reset();
  close(pipe.ends[1]);
  reader.join();
}

// An operator must be able to tell that the end of a log is missing.
TEST_CASE("lines that a stopped reader leaves at the end are counted") {
  constexpr int kLines = 1000;
  Pipe pipe;
  auto log = EventLog::Make({.descriptor = pipe.ends[1],
                             .queue_bytes = 1'000'000,
                             .lines_per_second = 1e6,
                             .batch_delay = absl::Milliseconds(1)});
  REQUIRE(log.ok());
  // Fills the pipe, so that the log can write nothing.
  REQUIRE(fcntl(pipe.ends[1], F_SETFL, O_NONBLOCK) == 0);
  const std::string filler(4096, 'x');
  while (write(pipe.ends[1], filler.data(), filler.size()) > 0) {
  }
  for (int i = 0; i < kLines; ++i) {
    REQUIRE(log.value()->Admit(LogLevel::kInfo, "event"));
    log.value()->Write(LogLevel::kInfo, "p", "event", {{"i", i}});
  }
  const EventLogStats stats = log.value()->Close();
  CHECK(stats.written == 0);
  CHECK(stats.overflowed == kLines);
}

// Each write that was left waited a second for the reader, so that a process
// stopped later than its limit.
TEST_CASE("a stopped reader holds up the end of a log by less than 0.6 s") {
  Pipe pipe;
  auto log = EventLog::Make({.descriptor = pipe.ends[1],
                             .queue_bytes = 1'000'000,
                             .lines_per_second = 1e6,
                             .batch_delay = absl::Milliseconds(1)});
  REQUIRE(log.ok());
  // Two batches: the writing thread waits with the first one.
  for (int batch = 0; batch < 2; ++batch) {
    for (int i = 0; i < 2000; ++i) {
      REQUIRE(log.value()->Admit(LogLevel::kInfo, "event"));
      log.value()->Write(LogLevel::kInfo, "p", "event", {{"i", i}});
    }
    absl::SleepFor(absl::Milliseconds(100));
  }
  const absl::Time start = absl::Now();
  log.value()->Close();
  CHECK(absl::Now() - start < absl::Milliseconds(600));
}

TEST_CASE("lines after the reader has closed the pipe count as overflowed") {
  Pipe pipe;
  close(std::exchange(pipe.ends[0], -1));
  // Without this, writing to the closed pipe would end the process. The
  // programs ignore SIGPIPE in main().
  const auto previous_handler = signal(SIGPIPE, SIG_IGN);
  auto log = EventLog::Make(
      {.descriptor = pipe.ends[1], .batch_delay = absl::Milliseconds(1)});
  REQUIRE(log.ok());
  REQUIRE(log.value()->Admit(LogLevel::kInfo, "event"));
  log.value()->Write(LogLevel::kInfo, "p", "event", {{"i", 1}});
  const absl::Time limit = absl::Now() + absl::Seconds(10);
  while (log.value()->stats().overflowed == 0 && absl::Now() < limit) {
    absl::SleepFor(absl::Milliseconds(5));
  }
  CHECK(log.value()->stats().overflowed == 1);
  CHECK(log.value()->stats().written == 0);
  log.value().reset();
  signal(SIGPIPE, previous_handler);
}

}  // namespace
}  // namespace gcw
