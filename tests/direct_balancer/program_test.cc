#include <sys/wait.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdlib>
#include <fstream>
#include <string>

namespace gcw::direct_balancer {
namespace {

// Runs `gcw-direct --check` on a settings file with this text. Returns the exit
// code.
int CheckSettings(const std::string& text) {
  const std::string path = "/tmp/gcw-direct-check-" + std::to_string(getpid());
  std::ofstream(path) << text;
  const std::string command = std::string(GCW_BIN_DIR) +
                              "/gcw-direct --check --settings " + path +
                              " 2>/dev/null";
  const int status = std::system(command.c_str());
  unlink(path.c_str());
  return WEXITSTATUS(status);
}

constexpr char kValid[] =
    R"({"name":"a","zone":"z","packets":"10.0.0.1:1","ready":"10.0.0.1:2",)"
    R"("platform":"10.0.0.2:3","members_port":4})";

// Exit codes are part of the program's interface: 2 for the command line, 3 for
// an unreadable settings file, 4 for invalid settings.
TEST_CASE("gcw-direct exits with the documented codes") {
  CHECK(CheckSettings(kValid) == 0);
  CHECK(CheckSettings(R"({"name":"a","odd":1})") == 4);
  CHECK(CheckSettings("no JSON") == 4);
  const std::string newer = R"({"newer":1,)" + std::string(kValid).substr(1);
  CHECK(CheckSettings(newer) == 4);
  const std::string program = std::string(GCW_BIN_DIR) + "/gcw-direct";
  CHECK(WEXITSTATUS(std::system(
            (program + " --settings /nowhere 2>/dev/null").c_str())) == 3);
  CHECK(WEXITSTATUS(
            std::system((program + " --odd >/dev/null 2>&1").c_str())) == 2);
}

}  // namespace
}  // namespace gcw::direct_balancer
