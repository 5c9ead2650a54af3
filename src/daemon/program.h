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

// The command-line arguments that every daemon takes.
struct Arguments {
  std::string settings;  // Path of the settings file.
  bool check = false;    // Check the settings file and exit.
};

// Tells a program to exit at once, after its help text, its version or an error
// of its command line was printed.
struct Exit {
  int code = 0;
};

// Texts about a program for --help and --version.
struct ProgramInfo {
  const char* purpose;
  const char* version;
};

// Parses the command line. For --help, --version or an invalid command line,
// prints the text or the error and returns an Exit.
std::variant<Arguments, Exit> ReadArguments(int argc,
                                            const char* const* argv,
                                            const ProgramInfo& about);

// The process exit code for `code`: its number.
int ExitCode(ResultCode code);

// Prints the program's name and `error` to standard error. Returns the exit
// code for `error`.
int PrintError(std::string_view program, const Error& error);

// Prints the program's name and each error to standard error. Returns the exit
// code of kSettingsUnreadable if the settings file could not be read, otherwise
// that of kSettingsInvalid. Precondition: `errors` is not empty.
int PrintSettingsErrors(std::string_view program,
                        std::span<const Error> errors);

// Makes the process print the exception that ends it, if one does, before it
// aborts. `program` is the name to print and must be a literal.
void PrintFatalExceptions(const char* program);

// Blocks `signals` in this thread and in all threads that it starts later, so
// that only a call like sigtimedwait() receives them. Returns the set of
// blocked signals. To be called at the start of main(): a signal that arrives
// before ends the process without a shutdown.
sigset_t BlockSignals(std::initializer_list<int> signals);

// Ignores the signals that ask these programs for nothing but would end them:
// SIGPIPE, SIGXFSZ (a log file has reached its limit), those that supervisors
// and log rotation send to other programs, and `others`.
void IgnoreUnusedSignals(std::initializer_list<int> others = {});

// Opens /dev/null as each of standard input, output and error that is closed.
// Otherwise the next socket or eventfd gets its number, and log lines go there.
// To be called at the start of main().
void OpenClosedStandardStreams();

}  // namespace gcw::daemon

#endif  // GCW_DAEMON_PROGRAM_H_
