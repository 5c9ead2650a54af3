#ifndef GCW_DAEMON_PROGRAM_H_
#define GCW_DAEMON_PROGRAM_H_

#include <csignal>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <variant>

#include "gcw/base/result.h"

namespace gcw::daemon {

// What every daemon takes on its command line.
struct Arguments {
  std::string settings;  // Path of the settings file.
  bool check = false;    // Only check the settings.
};

// The exit code of a program that ends before it serves.
struct Exit {
  int code = 0;
};

// What a program is called and does, for its help text.
struct ProgramInfo {
  const char* purpose;
  const char* version;
};

// Reads the command line; prints help, version or the error that it has.
std::variant<Arguments, Exit> ReadArguments(int argc,
                                            const char* const* argv,
                                            const ProgramInfo& about);

// The exit code for `code`.
int ExitCode(ResultCode code);

// Prints `error` to standard error after the program's name. Returns the exit
// code.
int PrintError(std::string_view program, const Error& error);

// Prints each error to standard error after the program's name. Returns the
// exit code that tells settings that cannot be read from wrong ones.
// Precondition: `errors` is not empty.
int PrintSettingsErrors(std::string_view program,
                        std::span<const Error> errors);

// Blocks `signals` for this thread and those it starts, so that only a wait for
// them gets them. To be called before any thread is started.
sigset_t BlockSignals(std::initializer_list<int> signals);

}  // namespace gcw::daemon

#endif  // GCW_DAEMON_PROGRAM_H_
