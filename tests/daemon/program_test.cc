#include "src/daemon/program.h"

#include <array>
#include <catch2/catch.hpp>
#include <vector>

#include "src/daemon/settings_file.h"

namespace gcw::daemon {
namespace {

constexpr ProgramInfo kProgramInfo{"A program.", "program 1"};

std::variant<Arguments, Exit> Read(std::vector<const char*> words) {
  words.insert(words.begin(), "program");
  return ReadArguments(static_cast<int>(words.size()), words.data(),
                       kProgramInfo);
}

TEST_CASE("the command line names the settings and whether to check only") {
  const auto plain = Read({"--settings", "a.json"});
  CHECK(std::get<Arguments>(plain).settings == "a.json");
  CHECK_FALSE(std::get<Arguments>(plain).check);
  CHECK(std::get<Arguments>(Read({"--settings", "a", "--check"})).check);
}

TEST_CASE("a wrong command line ends with the code of the table") {
  CHECK(std::get<Exit>(Read({})).code == ExitCode(ResultCode::kUsage));
  CHECK(std::get<Exit>(Read({"--settings", "a", "--odd"})).code ==
        ExitCode(ResultCode::kUsage));
  CHECK(std::get<Exit>(Read({"--version"})).code == 0);
}

TEST_CASE("settings that cannot be read are told from wrong ones") {
  const std::array unreadable{Error{ResultCode::kSettingsUnreadable, "", "x"}};
  const std::array wrong{Error{ResultCode::kInvalidField, "a", "x"}};
  CHECK(PrintSettingsErrors("program", unreadable) ==
        ExitCode(ResultCode::kSettingsUnreadable));
  CHECK(PrintSettingsErrors("program", wrong) ==
        ExitCode(ResultCode::kSettingsInvalid));
  const auto read = ReadSettingsFile("no/such/file");
  REQUIRE_FALSE(read.ok());
  CHECK(read.error().code == ResultCode::kSettingsUnreadable);
}

}  // namespace
}  // namespace gcw::daemon
