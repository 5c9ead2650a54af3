#include "src/soak/process_watch.h"

#include <catch2/catch.hpp>

namespace gcw::soak {
namespace {

const absl::Time kStart = absl::UnixEpoch();

ProcessUsage Usage(absl::Duration processor_time, std::int64_t peak_bytes) {
  return {.processor_time = processor_time, .peak_resident_bytes = peak_bytes};
}

// The soak held while daemons were over the memory of their VM.
TEST_CASE("a process over its memory counts once for each start") {
  ProcessWatch watch(2);
  watch.OnUsage(0, Usage({}, ProcessWatch::kMemoryLimitBytes), kStart);
  CHECK(watch.over_memory() == 0);
  for (int i = 0; i < 3; ++i) {
    watch.OnUsage(1, Usage({}, ProcessWatch::kMemoryLimitBytes + 1), kStart);
  }
  CHECK(watch.over_memory() == 1);
  CHECK(watch.peak_resident_bytes() == ProcessWatch::kMemoryLimitBytes + 1);
  watch.OnStart(1);
  watch.OnUsage(1, Usage({}, ProcessWatch::kMemoryLimitBytes + 1), kStart);
  CHECK(watch.over_memory() == 2);
}

// The soak held while daemons used a whole core for nothing.
TEST_CASE("a process that does not hand back the processor counts") {
  ProcessWatch watch(1);
  const absl::Duration window = ProcessWatch::kBusyWindow;
  watch.OnUsage(0, Usage({}, 1), kStart);
  watch.OnUsage(0, Usage(window, 1), kStart + window);
  CHECK(watch.busy_windows() == 1);
  // The next window is calm, and a new process starts from zero.
  watch.OnUsage(0, Usage(1.1 * window, 1), kStart + 2 * window);
  watch.OnStart(0);
  watch.OnUsage(0, Usage(absl::ZeroDuration(), 1), kStart + 3 * window);
  watch.OnUsage(0, Usage(0.5 * window, 1), kStart + 4 * window);
  CHECK(watch.busy_windows() == 1);
}

}  // namespace
}  // namespace gcw::soak
