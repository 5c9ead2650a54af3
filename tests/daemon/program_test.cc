#include "src/daemon/program.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <csignal>
#include <vector>

#include "src/daemon/settings_file.h"

namespace gcw::daemon {
namespace {

constexpr ProgramInfo kProgramInfo{"A program.", "program 1"};

// Parses a command line with these arguments after the program's name.
std::variant<Arguments, Exit> Parse(std::vector<const char*> words) {
  words.insert(words.begin(), "program");
  return ReadArguments(static_cast<int>(words.size()), words.data(),
                       kProgramInfo);
}

TEST_CASE("--settings and --check are parsed") {
  const auto arguments = Parse({"--settings", "a.json"});
  CHECK(std::get<Arguments>(arguments).settings == "a.json");
  CHECK_FALSE(std::get<Arguments>(arguments).check);
  CHECK(std::get<Arguments>(Parse({"--settings", "a", "--check"})).check);
}

TEST_CASE("an invalid command line exits with kUsage, --version with 0") {
  CHECK(std::get<Exit>(Parse({})).code == ExitCode(ResultCode::kUsage));
  CHECK(std::get<Exit>(Parse({"--settings", "a", "--odd"})).code ==
        ExitCode(ResultCode::kUsage));
  CHECK(std::get<Exit>(Parse({"--version"})).code == 0);
}

TEST_CASE("unreadable and invalid settings have different exit codes") {
  const std::array unreadable{Error{ResultCode::kSettingsUnreadable, "", "x"}};
  const std::array invalid{Error{ResultCode::kInvalidField, "a", "x"}};
  CHECK(PrintSettingsErrors("program", unreadable) ==
        ExitCode(ResultCode::kSettingsUnreadable));
  CHECK(PrintSettingsErrors("program", invalid) ==
        ExitCode(ResultCode::kSettingsInvalid));
  const auto read = ReadSettingsFile("no/such/file");
  REQUIRE_FALSE(read.ok());
  CHECK(read.error().code == ResultCode::kSettingsUnreadable);
}

// Standard error on a full disk ended a program that waited for its port.
TEST_CASE("an error message that cannot be written ends no program") {
  const int saved = dup(STDERR_FILENO);
  const int full = open("/dev/full", O_WRONLY);
  REQUIRE(dup2(full, STDERR_FILENO) == STDERR_FILENO);
  int code = 0;
  CHECK_NOTHROW(code = PrintError("program", {ResultCode::kUsage, "", "x"}));
  dup2(saved, STDERR_FILENO);
  close(full);
  close(saved);
  CHECK(code == ExitCode(ResultCode::kUsage));
}

// SIGHUP ended gcw-balancer and gcw-api, which do not reload their settings.
TEST_CASE("ignored signals end no program") {
  IgnoreUnusedSignals({SIGHUP});
  for (const int signal : {SIGHUP, SIGXFSZ, SIGUSR1}) {
    CHECK(std::raise(signal) == 0);
    std::signal(signal, SIG_DFL);
  }
}

}  // namespace
}  // namespace gcw::daemon
