#include "src/daemon/program.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <poll.h>
#include <pthread.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <cassert>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <string>

namespace gcw::daemon {
namespace {

const char* program_name = "";

// The text of the exception that ends the process.
std::string FatalExceptionText() {
  const std::exception_ptr exception = std::current_exception();
  if (exception == nullptr) {
    return "std::terminate was called";
  }
  try {
    std::rethrow_exception(exception);
  } catch (const std::exception& error) {
    return error.what();
  } catch (...) {
    return "an exception of an unknown type";
  }
}

// Leaves the text out if nobody reads it or the disk is full: a message must
// neither end nor stall the process.
void WriteToStandardError(std::string_view text) {
  pollfd ready{STDERR_FILENO, POLLOUT, 0};
  if (poll(&ready, 1, 0) > 0) {
    [[maybe_unused]] const ssize_t written =
        write(STDERR_FILENO, text.data(), text.size());
  }
}

[[noreturn]] void OnTerminate() {
  PrintError(program_name, {ResultCode::kInternal, "", FatalExceptionText()});
  std::abort();
}

}  // namespace

std::variant<Arguments, Exit> ReadArguments(int argc,
                                            const char* const* argv,
                                            const ProgramInfo& about) {
  CLI::App app(about.purpose);
  Arguments arguments;
  app.add_option("--settings", arguments.settings, "settings file, JSON")
      ->required();
  app.add_flag("--check", arguments.check, "check the settings and exit");
  app.set_version_flag("--version", about.version);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    // CLI11 reports --help and --version as parse errors with exit code 0.
    const bool info_requested = app.exit(error) == 0;
    return Exit{
        ExitCode(info_requested ? ResultCode::kOk : ResultCode::kUsage)};
  }
  return arguments;
}

int ExitCode(ResultCode code) {
  return static_cast<int>(code);
}

int PrintError(std::string_view program, const Error& error) {
  WriteToStandardError(fmt::format("{}: {}\n", program, ToString(error)));
  return ExitCode(error.code);
}

int PrintSettingsErrors(std::string_view program,
                        std::span<const Error> errors) {
  assert(!errors.empty());
  for (const Error& error : errors) {
    PrintError(program, error);
  }
  const bool unreadable =
      errors.front().code == ResultCode::kSettingsUnreadable;
  return ExitCode(unreadable ? ResultCode::kSettingsUnreadable
                             : ResultCode::kSettingsInvalid);
}

void PrintFatalExceptions(const char* program) {
  program_name = program;
  std::set_terminate(OnTerminate);
}

sigset_t BlockSignals(std::initializer_list<int> signals) {
  sigset_t blocked;
  sigemptyset(&blocked);
  for (const int signal : signals) {
    sigaddset(&blocked, signal);
  }
  pthread_sigmask(SIG_BLOCK, &blocked, nullptr);
  return blocked;
}

void IgnoreUnusedSignals(std::initializer_list<int> others) {
  for (const int signal : {SIGPIPE, SIGUSR1, SIGUSR2, SIGALRM, SIGVTALRM,
                           SIGPROF, SIGIO, SIGPWR, SIGXFSZ}) {
    std::signal(signal, SIG_IGN);
  }
  for (const int signal : others) {
    std::signal(signal, SIG_IGN);
  }
}

void OpenClosedStandardStreams() {
  for (int stream = STDIN_FILENO; stream <= STDERR_FILENO; ++stream) {
    if (fcntl(stream, F_GETFD) < 0) {
      // The lowest number that is free, which is `stream`.
      (void)open("/dev/null", O_RDWR);
    }
  }
}

}  // namespace gcw::daemon
