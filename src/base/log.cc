#include "gcw/base/log.h"

#include <unistd.h>

#include <atomic>
#include <string>

#include "absl/time/clock.h"
#include "absl/time/time.h"

namespace gcw {
namespace {

std::atomic<LogLevel> g_level{LogLevel::kInfo};

char LevelLetter(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return 'D';
    case LogLevel::kInfo:
      return 'I';
    case LogLevel::kWarning:
      return 'W';
    default:
      return 'E';
  }
}

}  // namespace

void SetLogLevel(LogLevel level) {
  g_level.store(level, std::memory_order_relaxed);
}

LogLevel CurrentLogLevel() {
  return g_level.load(std::memory_order_relaxed);
}

void WriteLog(LogLevel level, std::string_view prefix, std::string_view text) {
  const std::int64_t us = absl::GetCurrentTimeNanos() / 1000;
  const std::string line =
      fmt::format("{}.{:06} {} {}: {}\n", us / 1'000'000, us % 1'000'000,
                  LevelLetter(level), prefix, text);
  // A single write() call keeps concurrent threads from interleaving lines.
  [[maybe_unused]] const ssize_t written =
      write(STDERR_FILENO, line.data(), line.size());
}

}  // namespace gcw
