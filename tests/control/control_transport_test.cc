#include "gcw/control/control_transport.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"
#include "tests/support/idle_connections.h"
#include "tests/support/silent_proxy.h"

namespace gcw::control {
namespace {

constexpr std::uint32_t kLoopback = 0x7f000001;
constexpr absl::Duration kTimeout = absl::Seconds(10);

std::shared_ptr<auth::Signer> MakeSigner(std::string_view name, char key) {
  return auth::Signer::Make(name, {1, std::string(32, key)}, {}, absl::Now())
      .value();
}

// A transport that records the messages it receives.
class Daemon {
 public:
  explicit Daemon(std::string_view name, Options options = {}, char key = 'k') {
    if (options.listen.ip == 0) {
      options.listen.ip = kLoopback;
    }
    options.reconnect_backoff_min = absl::Milliseconds(20);
    options.reconnect_backoff_max = absl::Milliseconds(100);
    auto made = ControlTransport::Make(
        options, MakeSigner(name, key), [this](ReceivedMessage message) {
          absl::MutexLock lock(&mutex_);
          received_.push_back(std::move(message));
        });
    REQUIRE(made.ok());
    transport_ = std::move(made).value();
  }

  // The transport's handler uses `mutex_` and `received_`, so its thread must
  // end before they are destroyed.
  ~Daemon() { transport_.reset(); }

  ControlTransport& transport() { return *transport_; }
  Endpoint address() const { return transport_->listen_address(); }

  Status Send(const Endpoint& to,
              std::string_view text,
              OverflowPolicy overflow = OverflowPolicy::kReject) {
    return transport_->Send(
        to, MessageType::kDispatch,
        std::span(reinterpret_cast<const std::uint8_t*>(text.data()),
                  text.size()),
        overflow);
  }

  // Waits until `count` messages have been received in total. Returns false on
  // timeout.
  bool WaitForMessages(std::size_t count) {
    absl::MutexLock lock(&mutex_);
    const auto enough_received = [&]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
      return received_.size() >= count;
    };
    return mutex_.AwaitWithTimeout(absl::Condition(&enough_received), kTimeout);
  }

  std::vector<ReceivedMessage> received() {
    absl::MutexLock lock(&mutex_);
    return received_;
  }

  std::string text(std::size_t i) {
    const auto message = received().at(i);
    return {message.payload.begin(), message.payload.end()};
  }

 private:
  absl::Mutex mutex_;
  std::vector<ReceivedMessage> received_ ABSL_GUARDED_BY(mutex_);
  std::unique_ptr<ControlTransport> transport_;
};

// Polls `condition` until it holds. Returns false on timeout.
template <typename Condition>
bool Eventually(Condition condition) {
  const absl::Time deadline = absl::Now() + kTimeout;
  while (absl::Now() < deadline) {
    if (condition()) {
      return true;
    }
    absl::SleepFor(absl::Milliseconds(5));
  }
  return false;
}

// Opens a TCP connection without a transport; reads time out after 10 s.
int ConnectRaw(const Endpoint& to) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in raw = to.ToSockaddr();
  REQUIRE(connect(fd, reinterpret_cast<const sockaddr*>(&raw), sizeof(raw)) ==
          0);
  const timeval timeout = {10, 0};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
  return fd;
}

TEST_CASE("messages arrive complete, in order, with sender and type") {
  Daemon a("a");
  Daemon b("b");
  for (int i = 0; i < 1000; ++i) {
    REQUIRE(a.Send(b.address(), "message " + std::to_string(i)).ok());
  }
  REQUIRE(b.WaitForMessages(1000));
  for (int i = 0; i < 1000; ++i) {
    REQUIRE(b.text(i) == "message " + std::to_string(i));
  }
  const auto first = b.received()[0];
  CHECK(first.sender == auth::SenderIdOf("a"));
  CHECK(first.type == MessageType::kDispatch);
  CHECK(a.transport().stats().connects == 1);
}

TEST_CASE("two daemons can send messages to each other") {
  Daemon a("a");
  Daemon b("b");
  REQUIRE(a.Send(b.address(), "ping").ok());
  REQUIRE(b.WaitForMessages(1));
  REQUIRE(b.Send(a.address(), "pong").ok());
  REQUIRE(a.WaitForMessages(1));
  CHECK(a.text(0) == "pong");
}

TEST_CASE("messages larger than an HTTP/2 frame and window arrive") {
  Daemon a("a");
  Daemon b("b");
  const std::string large_text(900'000, 'x');
  for (int i = 0; i < 4; ++i) {
    REQUIRE(Eventually([&] { return a.Send(b.address(), large_text).ok(); }));
  }
  REQUIRE(b.WaitForMessages(4));
  for (int i = 0; i < 4; ++i) {
    CHECK(b.text(i) == large_text);
  }
}

TEST_CASE("a message above the size limit is rejected") {
  Options options;
  options.max_message_bytes = 100;
  Daemon a("a", options);
  auto status = a.Send(Endpoint{kLoopback, 1}, std::string(101, 'x'));
  REQUIRE_FALSE(status.ok());
  CHECK(status.error().code == ResultCode::kTooLarge);
}

TEST_CASE("the connection of a sender with the wrong key is closed") {
  Daemon wrong_key("a", {}, 'z');
  Daemon b("b");
  REQUIRE(wrong_key.Send(b.address(), "let me in").ok());
  CHECK(
      Eventually([&] { return b.transport().stats().closed_unverified == 1; }));
  CHECK(b.received().empty());
}

TEST_CASE("a connection with bytes that are not HTTP/2 is closed") {
  Daemon b("b");
  const int fd = ConnectRaw(b.address());
  const std::string junk = "GET / HTTP/1.1\r\n\r\n";
  REQUIRE(send(fd, junk.data(), junk.size(), 0) ==
          static_cast<ssize_t>(junk.size()));
  char buffer[512];
  // The server's SETTINGS frame may arrive before the connection is closed.
  ssize_t received_bytes = 1;
  while (received_bytes > 0) {
    received_bytes = recv(fd, buffer, sizeof(buffer), 0);
  }
  const bool closed = received_bytes == 0 || errno == ECONNRESET;
  CHECK(closed);
  close(fd);
  // The daemon that closed the malformed connection still serves a connection
  // from another daemon.
  Daemon a("a");
  REQUIRE(a.Send(b.address(), "still there").ok());
  CHECK(b.WaitForMessages(1));
}

TEST_CASE("the transport reconnects to a restarted peer") {
  Daemon a("a");
  auto b = std::make_unique<Daemon>("b");
  Options options;
  options.listen = b->address();
  REQUIRE(a.Send(options.listen, "one").ok());
  REQUIRE(b->WaitForMessages(1));
  b.reset();
  b = std::make_unique<Daemon>("b", options);
  // A message may be lost when the old connection closes, so send repeatedly.
  CHECK(Eventually([&] {
    (void)a.Send(options.listen, "two", OverflowPolicy::kDropOldest);
    return !b->received().empty();
  }));
  CHECK(a.transport().stats().connects >= 2);
}

TEST_CASE("messages are queued for a peer that is not running yet") {
  Options options;
  {
    Daemon probe("probe");
    options.listen = probe.address();
  }
  Daemon a("a");
  REQUIRE(a.Send(options.listen, "early").ok());
  CHECK(
      Eventually([&] { return a.transport().stats().connect_failures >= 2; }));
  Daemon b("b", options);
  REQUIRE(b.WaitForMessages(1));
  CHECK(b.text(0) == "early");
}

TEST_CASE("the queue to a peer that does not read is bounded") {
  // A listening socket whose connections are never accepted or read.
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in raw = Endpoint{kLoopback, 0}.ToSockaddr();
  REQUIRE(bind(fd, reinterpret_cast<sockaddr*>(&raw), sizeof(raw)) == 0);
  REQUIRE(listen(fd, 1) == 0);
  socklen_t length = sizeof(raw);
  getsockname(fd, reinterpret_cast<sockaddr*>(&raw), &length);
  const Endpoint non_reading_peer = Endpoint::FromSockaddr(raw);

  Options options;
  options.max_queue_bytes = 100'000;
  options.stall_timeout = absl::Milliseconds(500);
  Daemon a("a", options);
  const std::string message(10'000, 'x');
  for (int i = 0; i < 3000; ++i) {
    REQUIRE(
        a.Send(non_reading_peer, message, OverflowPolicy::kDropOldest).ok());
  }
  CHECK(a.transport().stats().dropped_messages > 0);
  // Messages with kReject are rejected when the queue is full.
  CHECK(Eventually([&] { return !a.Send(non_reading_peer, message).ok(); }));
  CHECK_FALSE(a.transport().Flush(absl::Milliseconds(50)));
  // The stalled connection is closed and a new one is made.
  CHECK(Eventually([&] { return a.transport().stats().connects >= 2; }));
  close(fd);
}

// A connection can go silent for good while new ones work, and while the kernel
// goes on accepting bytes for it. All later messages were lost.
TEST_CASE("messages reach a peer after the connection to it went silent") {
  Daemon b("b");
  test::SilentProxy proxy({kLoopback, 0}, b.address());
  Options options;
  options.ping_interval = absl::Milliseconds(50);
  options.ping_timeout = absl::Milliseconds(300);
  std::atomic<int> lost = 0;
  options.on_connection_lost = [&](const Endpoint& peer, absl::Duration) {
    lost += peer == proxy.endpoint() ? 1 : 0;
  };
  Daemon a("a", options);
  REQUIRE(a.Send(proxy.endpoint(), "first").ok());
  REQUIRE(b.WaitForMessages(1));
  proxy.SilenceOpen();
  const absl::Time start = absl::Now();
  // A lost message is not sent again; callers send the next one.
  while (b.received().size() < 2 && absl::Now() - start < kTimeout) {
    REQUIRE(a.Send(proxy.endpoint(), "next").ok());
    absl::SleepFor(absl::Milliseconds(20));
  }
  CHECK(b.received().size() >= 2);
  CHECK(absl::Now() - start < absl::Seconds(2));
  CHECK(lost == 1);
}

TEST_CASE("a connection that is acknowledged is not closed") {
  Options options;
  options.ping_interval = absl::Milliseconds(20);
  options.ping_timeout = absl::Milliseconds(200);
  Daemon a("a", options);
  Daemon b("b");
  for (std::size_t i = 1; i <= 40; ++i) {
    REQUIRE(a.Send(b.address(), "x").ok());
    REQUIRE(b.WaitForMessages(i));
    absl::SleepFor(absl::Milliseconds(20));
  }
  CHECK(a.transport().stats().connects == 1);
}

TEST_CASE("a full queue drops its oldest droppable messages") {
  Options options;
  options.max_queue_bytes = 30;
  Daemon a("a", options);
  Options late_options;
  {
    Daemon probe("probe");
    late_options.listen = probe.address();
  }
  const std::string nine_bytes(9, 'x');
  REQUIRE(a.Send(late_options.listen, nine_bytes + "0").ok());
  REQUIRE(
      a.Send(late_options.listen, nine_bytes + "1", OverflowPolicy::kDropOldest)
          .ok());
  REQUIRE(
      a.Send(late_options.listen, nine_bytes + "2", OverflowPolicy::kDropOldest)
          .ok());
  REQUIRE(
      a.Send(late_options.listen, nine_bytes + "3", OverflowPolicy::kDropOldest)
          .ok());
  REQUIRE(a.Send(late_options.listen, nine_bytes + "4").ok());
  CHECK(a.transport().stats().dropped_messages == 2);
  Daemon b("b", late_options);
  REQUIRE(b.WaitForMessages(3));
  CHECK(b.text(0).back() == '0');
  CHECK(b.text(1).back() == '3');
  CHECK(b.text(2).back() == '4');
}

TEST_CASE("Flush waits until all messages are written") {
  Daemon a("a");
  Daemon b("b");
  for (int i = 0; i < 200; ++i) {
    REQUIRE(a.Send(b.address(), "last words").ok());
  }
  CHECK(a.transport().Flush(kTimeout));
  CHECK(a.transport().stats().messages_sent == 200);
  CHECK(b.WaitForMessages(200));
}

TEST_CASE("removing a peer drops its queued messages") {
  Options late_options;
  {
    Daemon probe("probe");
    late_options.listen = probe.address();
  }
  Daemon a("a");
  REQUIRE(a.Send(late_options.listen, "old").ok());
  a.transport().RemovePeer(late_options.listen);
  REQUIRE(a.Send(late_options.listen, "new").ok());
  Daemon b("b", late_options);
  REQUIRE(b.WaitForMessages(1));
  CHECK(b.text(0) == "new");
}

// Idle connections up to the bound made a daemon refuse its peers.
TEST_CASE("a peer is accepted although idle connections are at the bound") {
  Options options;
  options.max_connections = 4;
  Daemon a("a");
  Daemon b("b", options);
  IdleConnections idle;
  idle.Open(b.address(), 20);
  REQUIRE(Eventually([&] { return idle.CountOpen() == 4; }));
  REQUIRE(a.Send(b.address(), "first").ok());
  REQUIRE(Eventually([&] { return b.received().size() == 1; }));
  CHECK(b.transport().stats().accepts.closed_for_room == 17);
  idle.Open(b.address(), 20);
  REQUIRE(Eventually([&] { return idle.CountOpen() == 3; }));
  REQUIRE(a.Send(b.address(), "second").ok());
  CHECK(Eventually([&] { return b.received().size() == 2; }));
  CHECK(a.transport().stats().connects == 1);
}

// A connection with a verified message was closed in favour of a new one.
TEST_CASE("connections of peers are not closed in favour of new ones") {
  Options options;
  options.max_connections = 1;
  Daemon a("a");
  Daemon b("b", options);
  REQUIRE(a.Send(b.address(), "first").ok());
  REQUIRE(Eventually([&] { return b.received().size() == 1; }));
  IdleConnections idle;
  idle.Open(b.address(), 5);
  REQUIRE(
      Eventually([&] { return b.transport().stats().accepts.refused == 5; }));
  CHECK(idle.CountOpen() == 0);
  REQUIRE(a.Send(b.address(), "second").ok());
  CHECK(Eventually([&] { return b.received().size() == 2; }));
  CHECK(a.transport().stats().connects == 1);
}

TEST_CASE("Make fails with kBindFailed if the port is in use") {
  Daemon a("a");
  Options options;
  options.listen = a.address();
  auto made = ControlTransport::Make(options, MakeSigner("b", 'k'),
                                     [](const ReceivedMessage&) {});
  REQUIRE_FALSE(made.ok());
  CHECK(made.error().code == ResultCode::kBindFailed);
}

TEST_CASE("the overhead of a small message on the wire is bounded") {
  // PINGs depend on the time, not on the messages: they are counted below.
  Options options;
  options.ping_interval = absl::InfiniteDuration();
  Daemon a("a", options);
  Daemon b("b");
  REQUIRE(a.Send(b.address(), "x").ok());
  REQUIRE(b.WaitForMessages(1));
  // The bytes of a message are counted after the peer may have received it.
  REQUIRE(a.transport().Flush(kTimeout));
  const std::uint64_t before = a.transport().stats().bytes_sent;
  constexpr int kMessages = 20;
  for (int i = 0; i < kMessages; ++i) {
    REQUIRE(a.Send(b.address(), "x").ok());
    REQUIRE(b.WaitForMessages(2 + static_cast<std::size_t>(i)));
  }
  REQUIRE(a.transport().Flush(kTimeout));
  const std::uint64_t bytes_per_message =
      (a.transport().stats().bytes_sent - before) / kMessages;
  // HTTP/2 frame header, length prefix, type, signature and one byte of
  // payload.
  CHECK(bytes_per_message <= 9 + 4 + 1 + auth::kSignedOverheadBytes + 1);
}

TEST_CASE("at most one PING is sent in an interval") {
  Options options;
  options.ping_interval = absl::Hours(1);
  Daemon a("a", options);
  Options without = options;
  without.ping_interval = absl::InfiniteDuration();
  Daemon c("c", without);
  Daemon b("b");
  for (std::size_t i = 1; i <= 20; ++i) {
    REQUIRE(a.Send(b.address(), "x").ok());
    REQUIRE(b.WaitForMessages(2 * i - 1));
    REQUIRE(c.Send(b.address(), "x").ok());
    REQUIRE(b.WaitForMessages(2 * i));
  }
  constexpr std::uint64_t kPingBytes = 17;  // The frame with its header.
  REQUIRE(a.transport().Flush(kTimeout));
  REQUIRE(c.transport().Flush(kTimeout));
  CHECK(a.transport().stats().bytes_sent ==
        c.transport().stats().bytes_sent + kPingBytes);
}

}  // namespace
}  // namespace gcw::control
