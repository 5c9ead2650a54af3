#include "src/control/connection.h"

#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

namespace gcw::control {
namespace {

constexpr int kBacklog = 128;
constexpr std::size_t kReadBytes = 16 * 1024;
// HTTP/2 frames are gathered up to this size before a write.
constexpr std::size_t kWriteBytes = 64 * 1024;
// The kernel gives up on a peer that acknowledges nothing for this long.
constexpr unsigned int kUserTimeoutMillis = 4000;

void SetOption(int fd, int level, int option, int value) {
  // These only tune; without them the connection is slower but right.
  (void)setsockopt(fd, level, option, &value, sizeof(value));
}

void Tune(int fd) {
  SetOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMillis);
}

Socket NewSocket() {
  return Socket(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
}

Error SystemError(ResultCode code, const char* what) {
  return Error{code, "", std::string(what) + ": " + std::strerror(errno)};
}

bool Bind(const Socket& socket, const Endpoint& address) {
  const sockaddr_in raw = address.ToSockaddr();
  return bind(socket.fd(), reinterpret_cast<const sockaddr*>(&raw),
              sizeof(raw)) == 0;
}

}  // namespace

Socket::~Socket() {
  if (fd_ >= 0) {
    close(fd_);
  }
}

Socket::Socket(Socket&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}

Socket& Socket::operator=(Socket&& other) noexcept {
  std::swap(fd_, other.fd_);
  return *this;
}

Result<Socket> Listen(const Endpoint& address) {
  Socket socket = NewSocket();
  if (!socket.valid()) {
    return SystemError(ResultCode::kBindFailed, "socket");
  }
  SetOption(socket.fd(), SOL_SOCKET, SO_REUSEADDR, 1);
  if (!Bind(socket, address) || listen(socket.fd(), kBacklog) != 0) {
    return SystemError(ResultCode::kBindFailed, ToString(address).c_str());
  }
  return socket;
}

Result<Socket> StartConnect(std::uint32_t from_ip, const Endpoint& to) {
  Socket socket = NewSocket();
  if (!socket.valid() || !Bind(socket, Endpoint{from_ip, 0})) {
    return SystemError(ResultCode::kInternal, "socket");
  }
  Tune(socket.fd());
  const sockaddr_in raw = to.ToSockaddr();
  const int result = connect(
      socket.fd(), reinterpret_cast<const sockaddr*>(&raw), sizeof(raw));
  if (result != 0 && errno != EINPROGRESS) {
    return SystemError(ResultCode::kInternal, "connect");
  }
  return socket;
}

Socket Accept(const Socket& listener, Endpoint& peer) {
  sockaddr_in raw{};
  socklen_t length = sizeof(raw);
  Socket socket(accept4(listener.fd(), reinterpret_cast<sockaddr*>(&raw),
                        &length, SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (socket.valid()) {
    Tune(socket.fd());
    peer = Endpoint::FromSockaddr(raw);
  }
  return socket;
}

bool IsConnected(const Socket& socket) {
  int error = 0;
  socklen_t length = sizeof(error);
  return getsockopt(socket.fd(), SOL_SOCKET, SO_ERROR, &error, &length) == 0 &&
         error == 0;
}

Connection::Connection(Socket socket,
                       std::unique_ptr<HttpStream> stream,
                       absl::Time now)
    : socket_(std::move(socket)),
      stream_(std::move(stream)),
      last_activity_(now),
      last_progress_(now) {}

bool Connection::Read(absl::Time now) {
  std::array<std::uint8_t, kReadBytes> buffer;
  while (true) {
    const ssize_t got = recv(socket_.fd(), buffer.data(), buffer.size(), 0);
    if (got < 0) {
      return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
    }
    if (got == 0) {
      return false;
    }
    last_activity_ = now;
    bytes_received_ += static_cast<std::uint64_t>(got);
    const auto size = static_cast<std::size_t>(got);
    if (!stream_->Receive(std::span(buffer).first(size))) {
      return false;
    }
    if (size < buffer.size()) {
      return true;
    }
  }
}

bool Connection::Write(absl::Time now) {
  while (true) {
    if (sent_ == pending_.size()) {
      pending_.clear();
      sent_ = 0;
      while (pending_.size() < kWriteBytes) {
        const auto bytes = stream_->NextOutput();
        if (bytes.empty()) {
          break;
        }
        pending_.insert(pending_.end(), bytes.begin(), bytes.end());
      }
      if (pending_.empty()) {
        return true;
      }
    }
    const ssize_t put = send(socket_.fd(), pending_.data() + sent_,
                             pending_.size() - sent_, MSG_NOSIGNAL);
    if (put < 0) {
      return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
    }
    sent_ += static_cast<std::size_t>(put);
    bytes_sent_ += static_cast<std::uint64_t>(put);
    last_activity_ = now;
    last_progress_ = now;
  }
}

std::uint64_t Connection::TakeBytesSent() {
  return std::exchange(bytes_sent_, 0);
}

std::uint64_t Connection::TakeBytesReceived() {
  return std::exchange(bytes_received_, 0);
}

}  // namespace gcw::control
