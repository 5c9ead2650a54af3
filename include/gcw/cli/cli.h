#ifndef GCW_CLI_CLI_H_
#define GCW_CLI_CLI_H_

#include <ostream>
#include <span>
#include <string>

namespace gcw::cli {

// Runs the operators' command line with `args` (without the program's name),
// writes results to `out` and errors to `err`. Returns the exit code, see
// docs/ERRORS.md. Blocks. Thread-safe if each call has its own streams.
int RunCli(std::span<const std::string> args,
           std::ostream& out,
           std::ostream& err);

}  // namespace gcw::cli

#endif  // GCW_CLI_CLI_H_
