#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <csignal>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>

#include "src/daemon/program.h"

namespace gcw::daemon {
namespace {

// Runs `body` in a child process. Returns what it wrote to standard error, and
// the signal that ended it.
template <typename Body>
std::pair<std::string, int> RunChild(Body body) {
  std::array<int, 2> pipe_fds{};
  REQUIRE(pipe(pipe_fds.data()) == 0);
  const pid_t child = fork();
  if (child == 0) {
    // Without the handler that the test library has for SIGABRT.
    std::signal(SIGABRT, SIG_DFL);
    dup2(pipe_fds[1], STDERR_FILENO);
    PrintFatalExceptions("prog");
    body();
    _exit(0);
  }
  close(pipe_fds[1]);
  std::string text;
  std::array<char, 256> buffer{};
  ssize_t bytes = 0;
  while ((bytes = read(pipe_fds[0], buffer.data(), buffer.size())) > 0) {
    text.append(buffer.data(), static_cast<std::size_t>(bytes));
  }
  close(pipe_fds[0]);
  int status = 0;
  waitpid(child, &status, 0);
  return {text, WIFSIGNALED(status) ? WTERMSIG(status) : 0};
}

// A process that an exception ended left no line about it in its log.
TEST_CASE("an exception that ends the process is printed") {
  const auto [text, signal] = RunChild([] {
    std::thread([] {
      throw std::runtime_error("no memory for a thread");
    }).join();
  });
  CHECK(signal == SIGABRT);
  CHECK(text == "prog: 1 internal: no memory for a thread\n");
}

}  // namespace
}  // namespace gcw::daemon
