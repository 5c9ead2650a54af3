#include "src/soak/process_watch.h"

#include <algorithm>

namespace gcw::soak {

void ProcessWatch::OnStart(std::size_t index) {
  processes_[index] = {};
}

void ProcessWatch::OnUsage(std::size_t index,
                           const ProcessUsage& usage,
                           absl::Time now) {
  Process& process = processes_[index];
  peak_resident_bytes_ =
      std::max(peak_resident_bytes_, usage.peak_resident_bytes);
  if (!process.over_memory && usage.peak_resident_bytes > kMemoryLimitBytes) {
    process.over_memory = true;
    ++over_memory_;
  }
  const absl::Duration elapsed = now - process.window_start;
  if (elapsed < kBusyWindow) {
    return;
  }
  const absl::Duration used =
      usage.processor_time - process.processor_time_at_start;
  if (process.window_start != absl::InfinitePast() &&
      absl::FDivDuration(used, elapsed) > kMaxProcessorShare) {
    ++busy_windows_;
  }
  process.window_start = now;
  process.processor_time_at_start = usage.processor_time;
}

}  // namespace gcw::soak
