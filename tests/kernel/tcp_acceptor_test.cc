#include "src/kernel/tcp_acceptor.h"

#include <sys/resource.h>

#include <catch2/catch.hpp>
#include <list>
#include <utility>

#include "tests/support/idle_connections.h"

namespace gcw::kernel {
namespace {

constexpr std::uint32_t kLoopback = 0x7f000001;
constexpr absl::Time kStart = absl::UnixEpoch();

// Keeps accepted connections and closes the oldest.
class Connections : public AcceptedConnections {
 public:
  std::size_t size() const override { return sockets_.size(); }
  void Add(Socket socket, const Endpoint& /*from*/) override {
    sockets_.push_back(std::move(socket));
  }
  bool CloseLeastUseful() override {
    if (sockets_.empty() || !closable_) {
      return false;
    }
    sockets_.pop_front();
    return true;
  }

  void set_closable(bool closable) { closable_ = closable; }

 private:
  std::list<Socket> sockets_;
  bool closable_ = true;
};

// Leaves the process no further descriptors during its lifetime.
class NoDescriptors {
 public:
  NoDescriptors() {
    REQUIRE(getrlimit(RLIMIT_NOFILE, &saved_) == 0);
    const Socket lowest_free(dup(0));
    REQUIRE(lowest_free.valid());
    rlimit limit = saved_;
    limit.rlim_cur = static_cast<rlim_t>(lowest_free.fd());
    REQUIRE(setrlimit(RLIMIT_NOFILE, &limit) == 0);
  }
  ~NoDescriptors() { setrlimit(RLIMIT_NOFILE, &saved_); }

 private:
  rlimit saved_{};
};

std::unique_ptr<TcpAcceptor> MakeAcceptor(const TcpAcceptorOptions& options,
                                          Connections& connections) {
  auto made = TcpAcceptor::Make(options, connections);
  REQUIRE(made.ok());
  return std::move(made).value();
}

// Accepting went on without a pause while each attempt failed.
TEST_CASE("accepting pauses while there are no descriptors") {
  Connections connections;
  const auto acceptor = MakeAcceptor({.listen = {kLoopback, 0}}, connections);
  IdleConnections clients;
  clients.Open(acceptor->address(), 2);
  {
    const NoDescriptors none;
    acceptor->AcceptWaiting(kStart);
    acceptor->AcceptWaiting(kStart + absl::Milliseconds(1));
  }
  CHECK(acceptor->stats().pauses == 1);
  CHECK(connections.size() == 0);
  const absl::Time resumed = acceptor->paused_until();
  CHECK(resumed == kStart + absl::Milliseconds(100));
  acceptor->AcceptWaiting(resumed);
  CHECK(connections.size() == 2);
}

// A server without free descriptors served no new connection for as long as
// idle ones stayed.
TEST_CASE("without descriptors a connection is closed in favour of a new one") {
  Connections connections;
  const auto acceptor = MakeAcceptor({.listen = {kLoopback, 0}}, connections);
  IdleConnections clients;
  clients.Open(acceptor->address(), 1);
  acceptor->AcceptWaiting(kStart);
  REQUIRE(connections.size() == 1);
  clients.Open(acceptor->address(), 2);
  {
    const NoDescriptors none;
    acceptor->AcceptWaiting(kStart);
  }
  CHECK(acceptor->stats().pauses == 0);
  CHECK(acceptor->stats().closed_for_room == 2);
  CHECK(clients.CountOpen() == 1);
}

// One server's connections took the descriptors of all others of the process.
TEST_CASE("the connections of a server keep to its share of the descriptors") {
  rlimit saved{};
  REQUIRE(getrlimit(RLIMIT_NOFILE, &saved) == 0);
  rlimit limit = saved;
  limit.rlim_cur = 200;
  REQUIRE(setrlimit(RLIMIT_NOFILE, &limit) == 0);
  Connections connections;
  const auto acceptor = MakeAcceptor(
      {.listen = {kLoopback, 0}, .max_descriptor_share = 0.1}, connections);
  setrlimit(RLIMIT_NOFILE, &saved);
  IdleConnections clients;
  clients.Open(acceptor->address(), 50);
  for (int i = 0; i < 50; ++i) {
    acceptor->AcceptWaiting(kStart);
  }
  CHECK(connections.size() == 20);
  CHECK(acceptor->stats().closed_for_room == 30);
  connections.set_closable(false);
  clients.Open(acceptor->address(), 5);
  for (int i = 0; i < 5; ++i) {
    acceptor->AcceptWaiting(kStart);
  }
  CHECK(connections.size() == 20);
  CHECK(acceptor->stats().refused == 5);
}

}  // namespace
}  // namespace gcw::kernel
