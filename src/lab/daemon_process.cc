#include "src/lab/daemon_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>

namespace gcw::lab {
namespace {

// Exit codes as a shell reports them: 128 plus the number of the signal that
// ended the process, or 127 if exec failed.
constexpr int kSignalExitBase = 128;
constexpr int kExecFailedExitCode = 127;

int ExitCodeOf(int status) {
  return WIFSIGNALED(status) ? kSignalExitBase + WTERMSIG(status)
                             : WEXITSTATUS(status);
}

// Sets one limit of the calling process. Async-signal-safe.
void ApplyLimit(int resource, const std::optional<std::uint64_t>& most) {
  if (most) {
    const rlimit limit{*most, *most};
    setrlimit(static_cast<__rlimit_resource>(resource), &limit);
  }
}

// Sets the limits of the calling process. Async-signal-safe.
void ApplyLimits(const ProcessLimits& limits) {
  ApplyLimit(RLIMIT_NOFILE, limits.max_descriptors);
  ApplyLimit(RLIMIT_AS, limits.max_address_space);
  ApplyLimit(RLIMIT_FSIZE, limits.max_file_bytes);
}

// Waits until the other end of the pipe is closed, which happens when the child
// runs its program or has ended.
void WaitForExec(int pipe_end) {
  char byte = 0;
  while (read(pipe_end, &byte, 1) < 0 && errno == EINTR) {
  }
}

}  // namespace

Result<std::unique_ptr<DaemonProcess>> DaemonProcess::Make(
    const std::string& program,
    const std::string& settings_path,
    const std::string& log_path,
    const ProcessLimits& limits) {
  const int log =
      open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (log < 0 || access(program.c_str(), X_OK) != 0) {
    close(log);
    return Error{ResultCode::kInternal, "",
                 "cannot execute " + program + " or open its log " + log_path};
  }
  const char* const arguments[] = {program.c_str(), "--settings",
                                   settings_path.c_str(), nullptr};
  int exec_pipe[2] = {-1, -1};
  if (pipe2(exec_pipe, O_CLOEXEC) != 0) {
    close(log);
    return Error{ResultCode::kInternal, "", "cannot open a pipe"};
  }
  // Forks because posix_spawn cannot set PR_SET_PDEATHSIG in the child.
  const pid_t pid = fork();
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    ApplyLimits(limits);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execv(program.c_str(), const_cast<char* const*>(arguments));
    _exit(kExecFailedExitCode);
  }
  close(log);
  close(exec_pipe[1]);
  if (pid > 0) {
    // Until then Usage() would tell what this process uses.
    WaitForExec(exec_pipe[0]);
  }
  close(exec_pipe[0]);
  if (pid < 0) {
    return Error{ResultCode::kInternal, "",
                 "cannot fork a process for " + program};
  }
  return std::unique_ptr<DaemonProcess>(new DaemonProcess(pid));
}

DaemonProcess::~DaemonProcess() {
  if (!ExitCode()) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
}

void DaemonProcess::Signal(int signal) {
  if (!ExitCode()) {
    kill(pid_, signal);
  }
}

std::optional<int> DaemonProcess::ExitCode() {
  int status = 0;
  if (!exit_code_ && waitpid(pid_, &status, WNOHANG) == pid_) {
    exit_code_ = ExitCodeOf(status);
  }
  return exit_code_;
}

std::optional<ProcessUsage> DaemonProcess::Usage() {
  return ExitCode() ? std::nullopt : ReadProcessUsage(pid_);
}

}  // namespace gcw::lab
