#ifndef GCW_SOAK_PROCESS_WATCH_H_
#define GCW_SOAK_PROCESS_WATCH_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "absl/time/time.h"
#include "gcw/base/process_usage.h"

namespace gcw::soak {

// Counts processes that use more than their VM has: memory above its limit, or
// a whole core for long. Uses no clock; not thread-safe.
class ProcessWatch {
 public:
  // The memory limit of the smallest VM that the daemons run on.
  static constexpr std::int64_t kMemoryLimitBytes = 390'000'000;
  // A process that uses more than kMaxProcessorShare of a core for
  // kBusyWindow does not hand back the processor.
  static constexpr double kMaxProcessorShare = 0.9;
  static constexpr absl::Duration kBusyWindow = absl::Seconds(5);

  explicit ProcessWatch(std::size_t processes) : processes_(processes) {}

  // Process `index` was started.
  void OnStart(std::size_t index);
  // Process `index` uses `usage` at `now`.
  void OnUsage(std::size_t index, const ProcessUsage& usage, absl::Time now);

  // The number of processes whose memory exceeded the limit, and of windows in
  // which a process was busy.
  std::size_t over_memory() const { return over_memory_; }
  std::size_t busy_windows() const { return busy_windows_; }
  // The most memory that any process has used.
  std::int64_t peak_resident_bytes() const { return peak_resident_bytes_; }

 private:
  struct Process {
    bool over_memory = false;
    absl::Time window_start = absl::InfinitePast();
    absl::Duration processor_time_at_start;  // Of the window.
  };

  std::vector<Process> processes_;
  std::size_t over_memory_ = 0;
  std::size_t busy_windows_ = 0;
  std::int64_t peak_resident_bytes_ = 0;
};

}  // namespace gcw::soak

#endif  // GCW_SOAK_PROCESS_WATCH_H_
