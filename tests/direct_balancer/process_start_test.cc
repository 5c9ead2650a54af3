#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>

#include "tests/direct_balancer/process_fixture.h"

namespace gcw::direct_balancer {
namespace {

// A port that another process holds, as an old process does that still ends.
class TakenPort {
 public:
  TakenPort(const Endpoint& address, int type)
      : socket_(socket(AF_INET, type | SOCK_CLOEXEC, 0)) {
    const sockaddr_in raw = address.ToSockaddr();
    REQUIRE(bind(socket_, reinterpret_cast<const sockaddr*>(&raw),
                 sizeof(raw)) == 0);
    if (type == SOCK_STREAM) {
      REQUIRE(listen(socket_, 1) == 0);
    }
  }
  ~TakenPort() { close(socket_); }

 private:
  const int socket_;
};

// A daemon ended with exit code 5 when a port was taken for a moment, so the
// supervisor restarted it again and again.
TEST_CASE("a daemon starts once a port that was taken is free",
          "[known-red]"
          "[known-red][!mayfail]") {
  ProcessFixture fixture;
  fixture.AddServer();
  const Settings settings = fixture.SettingsOf(0);
  const Endpoint members{settings.packets.ip, settings.members_port};
  const Endpoint control{settings.packets.ip,
                         static_cast<std::uint16_t>(members.port + 1)};
  struct Case {
    const char* what;
    Endpoint address;
    int type;
  };
  const Case cases[] = {{"packets", settings.packets, SOCK_DGRAM},
                        {"ready", settings.ready, SOCK_STREAM},
                        {"metrics", settings.metrics, SOCK_STREAM},
                        {"members", members, SOCK_DGRAM},
                        {"control", control, SOCK_STREAM}};
  for (const Case& taken : cases) {
    INFO(taken.what);
    std::unique_ptr<lab::DaemonProcess> process;
    {
      const TakenPort port(taken.address, taken.type);
      process = fixture.StartProcess(0);
      CHECK_FALSE(fixture.WaitForExit(*process, absl::Seconds(1)));
    }
    CHECK(fixture.BecomesReady(0));
    CHECK_FALSE(process->ExitCode());
  }
}

}  // namespace
}  // namespace gcw::direct_balancer
