#ifndef SRC_LAB_DAEMON_PROCESS_H_
#define SRC_LAB_DAEMON_PROCESS_H_

#include <sys/types.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "gcw/base/process_usage.h"
#include "gcw/base/result.h"

namespace gcw::lab {

// Limits that the kernel enforces on a daemon process.
struct ProcessLimits {
  // The most open file descriptors; nullopt leaves the limit of this process.
  std::optional<std::uint64_t> max_descriptors;
  // The largest size in bytes of a file that it writes, such as its log.
  std::optional<std::uint64_t> max_file_bytes;
  // The most bytes of address space; nullopt leaves the limit of this process.
  std::optional<std::uint64_t> max_address_space;
};

// A child process that runs a daemon. The destructor kills and reaps the
// process, and the kernel kills the process if the lab itself dies. Not
// thread-safe.
class DaemonProcess {
 public:
  // Runs `program --settings settings_path` and appends stdout and stderr to
  // the file `log_path`. Fails with kInternal if the log cannot be opened, the
  // program is not executable, or the process cannot be forked.
  static Result<std::unique_ptr<DaemonProcess>> Make(
      const std::string& program,
      const std::string& settings_path,
      const std::string& log_path,
      const ProcessLimits& limits = {});
  ~DaemonProcess();

  // Sends `signal` to the process; does nothing once the process has ended.
  void Signal(int signal);
  // Reaps the process if it has ended. Returns its exit code, or 128 plus the
  // number of the signal that ended it; nothing while it runs.
  std::optional<int> ExitCode();
  // What the process uses now; nothing once it has ended.
  std::optional<ProcessUsage> Usage();

 private:
  explicit DaemonProcess(pid_t pid) : pid_(pid) {}

  pid_t pid_;
  std::optional<int> exit_code_;
};

}  // namespace gcw::lab

#endif  // SRC_LAB_DAEMON_PROCESS_H_
