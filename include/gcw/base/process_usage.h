#ifndef GCW_BASE_PROCESS_USAGE_H_
#define GCW_BASE_PROCESS_USAGE_H_

#include <sys/types.h>

#include <cstddef>
#include <cstdint>
#include <optional>

#include "absl/time/time.h"

namespace gcw {

// The resources that a running process uses.
struct ProcessUsage {
  absl::Duration processor_time;  // Of all threads since the start.
  std::int64_t resident_bytes = 0;
  std::int64_t peak_resident_bytes = 0;
  std::size_t descriptors = 0;  // Open file descriptors.
};

// Reads what the process `pid` uses now. Returns nothing if the operating
// system does not tell, for example since the process has ended. Opens files,
// so it must not be called where packets are forwarded. Thread-safe.
std::optional<ProcessUsage> ReadProcessUsage(pid_t pid);

}  // namespace gcw

#endif  // GCW_BASE_PROCESS_USAGE_H_
