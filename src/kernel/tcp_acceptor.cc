#include "src/kernel/tcp_acceptor.h"

#include <fmt/format.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

#include "gcw/base/log.h"
#include "gcw/base/system_error.h"

namespace gcw::kernel {
namespace {

constexpr Logger kLog("accept");

// A server handles its open connections between two calls that accept this
// many.
constexpr int kMaxAcceptsPerCall = 4;
constexpr absl::Duration kPause = absl::Milliseconds(100);
constexpr absl::Duration kReportInterval = absl::Seconds(10);
// A server accepts this many connections however few descriptors there are.
constexpr std::size_t kMinConnections = 8;

std::size_t MaxConnections(const TcpAcceptorOptions& options) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0 ||
      limit.rlim_cur == RLIM_INFINITY) {
    return options.max_connections;
  }
  const auto share = static_cast<std::size_t>(
      static_cast<double>(limit.rlim_cur) * options.max_descriptor_share);
  return std::min(options.max_connections, std::max(share, kMinConnections));
}

// Whether accept() failed because of the connection it took from the queue, so
// that the next one may succeed.
bool IsOfOneConnection(int error) {
  switch (error) {
    case EINTR:
    case ECONNABORTED:
    case EPERM:
    case EPROTO:
    case ENETDOWN:
    case ENETUNREACH:
    case EHOSTUNREACH:
      return true;
    default:
      return false;
  }
}

bool IsOutOfResources(int error) {
  return error == EMFILE || error == ENFILE || error == ENOBUFS ||
         error == ENOMEM;
}

bool IsReadable(int fd) {
  pollfd entry{fd, POLLIN, 0};
  return poll(&entry, 1, 0) > 0;
}

// Accepts the next connection. Returns 0 or the error number.
int TryAccept(int listener, Socket& socket, Endpoint& from) {
  sockaddr_in raw{};
  socklen_t length = sizeof(raw);
  socket = Socket(accept4(listener, reinterpret_cast<sockaddr*>(&raw), &length,
                          SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (!socket.valid()) {
    return errno;
  }
  from = Endpoint::FromSockaddr(raw);
  return 0;
}

Error BindError(const Endpoint& listen) {
  return SystemError(ResultCode::kBindFailed,
                     fmt::format("cannot listen on TCP {}", ToString(listen)),
                     errno);
}

}  // namespace

TcpAcceptor::TcpAcceptor(const TcpAcceptorOptions& options,
                         AcceptedConnections& connections)
    : options_(options),
      max_connections_(MaxConnections(options)),
      connections_(connections) {}

Result<std::unique_ptr<TcpAcceptor>> TcpAcceptor::Make(
    const TcpAcceptorOptions& options,
    AcceptedConnections& connections) {
  std::unique_ptr<TcpAcceptor> acceptor(new TcpAcceptor(options, connections));
  const Status listening = acceptor->Listen();
  if (!listening.ok()) {
    return listening.error();
  }
  return acceptor;
}

Status TcpAcceptor::Listen() {
  listener_ =
      Socket(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!listener_.valid()) {
    return BindError(options_.listen);
  }
  const int on = 1;
  // Errors are ignored: bind() fails if the option was needed.
  (void)setsockopt(listener_.fd(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in raw = options_.listen.ToSockaddr();
  socklen_t length = sizeof(raw);
  auto* const address = reinterpret_cast<sockaddr*>(&raw);
  if (bind(listener_.fd(), address, length) != 0 ||
      listen(listener_.fd(), options_.backlog) != 0 ||
      getsockname(listener_.fd(), address, &length) != 0) {
    return BindError(options_.listen);
  }
  address_ = Endpoint::FromSockaddr(raw);
  return OkStatus();
}

void TcpAcceptor::AcceptWaiting(absl::Time now) {
  if (now < paused_until_) {
    return;
  }
  int accepted = 0;
  while (accepted < kMaxAcceptsPerCall && AcceptOne(now)) {
    ++accepted;
  }
  ReportIfDue(now);
}

// Returns whether another connection may be waiting.
bool TcpAcceptor::AcceptOne(absl::Time now) {
  Socket socket;
  Endpoint from;
  int error = TryAccept(listener_.fd(), socket, from);
  if (IsOutOfResources(error)) {
    // The kernel reports it without looking whether a connection is waiting.
    if (!IsReadable(listener_.fd())) {
      return false;
    }
    if (MakeRoom()) {
      error = TryAccept(listener_.fd(), socket, from);
    }
  }
  if (error == 0) {
    AddOrRefuse(std::move(socket), from);
    return true;
  }
  if (error == EAGAIN || error == EWOULDBLOCK) {
    return false;
  }
  if (IsOfOneConnection(error)) {
    return true;
  }
  paused_until_ = now + kPause;
  ++pauses_;
  return false;
}

void TcpAcceptor::AddOrRefuse(Socket socket, const Endpoint& from) {
  if (connections_.size() >= max_connections_ && !MakeRoom()) {
    ++refused_;
    return;
  }
  connections_.Add(std::move(socket), from);
}

bool TcpAcceptor::MakeRoom() {
  if (!connections_.CloseLeastUseful()) {
    return false;
  }
  ++closed_for_room_;
  return true;
}

void TcpAcceptor::ReportIfDue(absl::Time now) {
  const AcceptStats current = stats();
  const std::uint64_t sum =
      current.closed_for_room + current.refused + current.pauses;
  if (sum == reported_ || now < next_report_) {
    return;
  }
  reported_ = sum;
  next_report_ = now + kReportInterval;
  if (options_.on_bound_reached) {
    options_.on_bound_reached(address_, current);
    return;
  }
  kLog.Warning(
      "{} of at most {} connections to {} are open: {} closed for new ones, {} "
      "refused, {} pauses so far",
      connections_.size(), max_connections_, ToString(address_),
      current.closed_for_room, current.refused, current.pauses);
}

AcceptStats TcpAcceptor::stats() const {
  return {closed_for_room_, refused_, pauses_};
}

}  // namespace gcw::kernel
