#include "src/daemon/http_endpoint.h"

#include <fmt/format.h>
#include <poll.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <exception>
#include <list>
#include <memory>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

#include "absl/time/clock.h"
#include "gcw/base/log.h"
#include "gcw/base/thread.h"
#include "gcw/kernel/event_loop.h"
#include "gcw/kernel/wake_fd.h"
#include "src/daemon/http_connection.h"
#include "src/daemon/http_message.h"
#include "src/kernel/tcp_acceptor.h"

namespace gcw::daemon {
namespace {

constexpr Logger kLog("http");

constexpr int kListenBacklog = 512;
constexpr std::size_t kMaxConnections = 64;
constexpr double kMaxDescriptorShare = 1.0 / 16;
constexpr absl::Duration kPauseAfterError = absl::Milliseconds(100);
constexpr int kMalformed = 400;
constexpr int kNotFound = 404;
constexpr int kInternalError = 500;

// A timeout of poll() that ends at `deadline`, rounded up to milliseconds.
int PollTimeout(absl::Time deadline) {
  if (deadline == absl::InfiniteFuture()) {
    return -1;
  }
  const absl::Duration wait = std::clamp(deadline - kernel::MonotonicNow(),
                                         absl::ZeroDuration(), absl::Hours(1));
  return static_cast<int>(
      absl::ToInt64Milliseconds(absl::Ceil(wait, absl::Milliseconds(1))));
}

}  // namespace

class HttpEndpoint::Impl : private kernel::AcceptedConnections {
 public:
  Impl(const HttpEndpointOptions& options, Handler handler)
      : options_(options),
        handler_(std::move(handler)),
        responder_([this](std::string_view head) { return Respond(head); }) {}

  ~Impl() override {
    if (thread_.joinable()) {
      stopping_ = true;
      wake_->Wake();
      thread_.join();
    }
  }

  Status Start() {
    auto wake = kernel::WakeFd::Make();
    if (!wake.ok()) {
      return wake.error();
    }
    wake_.emplace(std::move(wake).value());
    auto acceptor =
        kernel::TcpAcceptor::Make({.listen = options_.listen,
                                   .backlog = kListenBacklog,
                                   .max_connections = kMaxConnections,
                                   .max_descriptor_share = kMaxDescriptorShare},
                                  *this);
    if (!acceptor.ok()) {
      return acceptor.error();
    }
    acceptor_ = std::move(acceptor).value();
    Result<std::thread> thread = StartThread([this] { Run(); });
    if (!thread.ok()) {
      return thread.error();
    }
    thread_ = std::move(thread).value();
    return OkStatus();
  }

  Endpoint endpoint() const { return acceptor_->address(); }
  kernel::AcceptStats stats() const { return acceptor_->stats(); }

 private:
  using State = HttpConnection::State;

  // kernel::AcceptedConnections:
  std::size_t size() const override { return connections_.size(); }

  void Add(kernel::Socket socket, const Endpoint& /*from*/) override {
    HttpConnection& added =
        connections_.emplace_back(std::move(socket), kernel::MonotonicNow());
    // Most clients have sent their request by now.
    added.Advance(responder_);
    if (added.state() == State::kClosed) {
      connections_.pop_back();
    }
  }

  // Closes the oldest connection whose response is sent, else the oldest that
  // has not sent its request, else the oldest.
  bool CloseLeastUseful() override {
    if (connections_.empty()) {
      return false;
    }
    auto chosen = connections_.begin();
    for (const State state : {State::kClosing, State::kReceiving}) {
      const auto found = std::find_if(
          connections_.begin(), connections_.end(),
          [state](const auto& each) { return each.state() == state; });
      if (found != connections_.end()) {
        chosen = found;
        break;
      }
    }
    connections_.erase(chosen);
    return true;
  }

  void Run() {
    while (!stopping_) {
      if (Wait()) {
        HandleEvents();
      }
    }
  }

  // Waits for the next event or deadline. Returns false if waiting failed.
  bool Wait() {
    absl::Time deadline = absl::InfiniteFuture();
    const bool paused = kernel::MonotonicNow() < acceptor_->paused_until();
    if (paused) {
      deadline = acceptor_->paused_until();
    }
    polled_.clear();
    polled_.push_back({wake_->fd(), POLLIN, 0});
    polled_.push_back(
        {acceptor_->fd(), static_cast<short>(paused ? 0 : POLLIN), 0});
    for (const HttpConnection& connection : connections_) {
      polled_.push_back({connection.fd(), connection.poll_events(), 0});
      deadline = std::min(deadline, connection.deadline());
    }
    if (poll(polled_.data(), polled_.size(), PollTimeout(deadline)) >= 0) {
      return true;
    }
    if (errno != EINTR) {
      kLog.Error("poll failed on {}: errno {}", ToString(endpoint()), errno);
      absl::SleepFor(kPauseAfterError);
    }
    return false;
  }

  void HandleEvents() {
    // The first two entries are not of connections.
    auto entry = polled_.begin() + 2;
    for (HttpConnection& connection : connections_) {
      if (entry->revents != 0 ||
          kernel::MonotonicNow() >= connection.deadline()) {
        connection.Advance(responder_);
      }
      ++entry;
    }
    connections_.remove_if([](const HttpConnection& connection) {
      return connection.state() == State::kClosed;
    });
    if ((polled_[1].revents & POLLIN) != 0) {
      acceptor_->AcceptWaiting(kernel::MonotonicNow());
    }
  }

  std::string Respond(std::string_view head) {
    const auto request = ParseRequestHead(head);
    if (!request) {
      return FormatResponse({.status = kMalformed});
    }
    const bool is_head = request->method == "HEAD";
    if ((!is_head && request->method != "GET") ||
        request->path != options_.path) {
      return FormatResponse({.status = kNotFound});
    }
    const HttpAnswer answer = CallHandler();
    return FormatResponse({.status = answer.status,
                           .content_type = options_.content_type,
                           .body = answer.body,
                           .without_body = is_head});
  }

  HttpAnswer CallHandler() {
    try {
      return handler_();
    } catch (const std::exception& error) {
      kLog.Error("no answer to {}: {}", options_.path, error.what());
      return {kInternalError, ""};
    }
  }

  const HttpEndpointOptions options_;
  const Handler handler_;
  const HttpConnection::Responder responder_;
  std::atomic<bool> stopping_{false};
  std::optional<kernel::WakeFd> wake_;
  std::unique_ptr<kernel::TcpAcceptor> acceptor_;
  std::list<HttpConnection> connections_;  // In order of acceptance.
  std::vector<pollfd> polled_;  // The wake event, the listener, connections.
  std::thread thread_;
};

Result<std::unique_ptr<HttpEndpoint>> HttpEndpoint::Make(
    const HttpEndpointOptions& options,
    Handler handler) {
  auto impl = std::make_unique<Impl>(options, std::move(handler));
  const Status started = impl->Start();
  if (!started.ok()) {
    return started.error();
  }
  return std::unique_ptr<HttpEndpoint>(new HttpEndpoint(std::move(impl)));
}

HttpEndpoint::HttpEndpoint(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl)) {}
HttpEndpoint::~HttpEndpoint() = default;

Endpoint HttpEndpoint::endpoint() const {
  return impl_->endpoint();
}

HttpEndpointStats HttpEndpoint::stats() const {
  const kernel::AcceptStats accepts = impl_->stats();
  return {accepts.closed_for_room, accepts.pauses};
}

}  // namespace gcw::daemon
