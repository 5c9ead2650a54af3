#include "gcw/base/process_usage.h"

#include <fmt/format.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <string>
#include <string_view>
#include <system_error>

namespace gcw {
namespace {

constexpr std::int64_t kBytesPerKibibyte = 1024;

// The value in bytes of a line "NAME: N kB" of /proc/PID/status; 0 if there is
// none.
std::int64_t ReadStatusBytes(pid_t pid, std::string_view name) {
  std::ifstream status(fmt::format("/proc/{}/status", pid));
  std::string line;
  while (std::getline(status, line)) {
    if (line.starts_with(name)) {
      std::int64_t kibibytes = 0;
      std::istringstream(line.substr(name.size())) >> kibibytes;
      return kibibytes * kBytesPerKibibyte;
    }
  }
  return 0;
}

// The processor time of all threads of a process.
absl::Duration ReadProcessorTime(pid_t pid) {
  // The clock ticks in user and kernel mode are the fields 14 and 15. The
  // second field is the name of the program in parentheses.
  constexpr int kUserTicksAfterName = 11;
  std::ifstream stat(fmt::format("/proc/{}/stat", pid));
  std::string text((std::istreambuf_iterator<char>(stat)), {});
  const std::size_t name_end = text.rfind(')');
  if (name_end == std::string::npos) {
    return absl::ZeroDuration();
  }
  std::istringstream fields(text.substr(name_end + 1));
  std::string skipped;
  for (int i = 0; i < kUserTicksAfterName; ++i) {
    fields >> skipped;
  }
  double user_ticks = 0;
  double kernel_ticks = 0;
  fields >> user_ticks >> kernel_ticks;
  const auto ticks_per_second = static_cast<double>(sysconf(_SC_CLK_TCK));
  return absl::Seconds((user_ticks + kernel_ticks) / ticks_per_second);
}

std::size_t CountDescriptors(pid_t pid) {
  std::error_code error;
  std::filesystem::directory_iterator entry(fmt::format("/proc/{}/fd", pid),
                                            error);
  std::size_t count = 0;
  while (!error && entry != std::filesystem::directory_iterator()) {
    ++count;
    entry.increment(error);
  }
  return count;
}

}  // namespace

std::optional<ProcessUsage> ReadProcessUsage(pid_t pid) {
  ProcessUsage usage;
  usage.resident_bytes = ReadStatusBytes(pid, "VmRSS:");
  if (usage.resident_bytes == 0) {
    return std::nullopt;
  }
  usage.peak_resident_bytes = ReadStatusBytes(pid, "VmHWM:");
  usage.processor_time = ReadProcessorTime(pid);
  usage.descriptors = CountDescriptors(pid);
  return usage;
}

}  // namespace gcw
