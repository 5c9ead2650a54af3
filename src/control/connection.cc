#include "src/control/connection.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <string>
#include <utility>

#include "gcw/base/system_error.h"

namespace gcw::control {
namespace {

constexpr std::size_t kReadBufferBytes = 16 * 1024;
// HTTP/2 frames are collected up to about this size for each write.
constexpr std::size_t kWriteBatchBytes = 64 * 1024;
// TCP_USER_TIMEOUT: the kernel closes a connection whose peer has not
// acknowledged sent data for this long.
constexpr unsigned int kTcpUserTimeoutMillis = 4000;

void SetOption(int fd, int level, int option, int value) {
  // Errors are ignored: without the option, the connection is slower to send or
  // to detect a dead peer, but still correct.
  (void)setsockopt(fd, level, option, &value, sizeof(value));
}

Socket NewSocket() {
  return Socket(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
}

bool Bind(const Socket& socket, const Endpoint& address) {
  const sockaddr_in raw = address.ToSockaddr();
  return bind(socket.fd(), reinterpret_cast<const sockaddr*>(&raw),
              sizeof(raw)) == 0;
}

}  // namespace

void SetTcpOptions(int fd) {
  SetOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, kTcpUserTimeoutMillis);
}

Result<Socket> StartConnect(std::uint32_t from_ip, const Endpoint& to) {
  Socket socket = NewSocket();
  if (!socket.valid() || !Bind(socket, Endpoint{from_ip, 0})) {
    return SystemError(ResultCode::kInternal, "socket", errno);
  }
  SetTcpOptions(socket.fd());
  const sockaddr_in raw = to.ToSockaddr();
  const int result = connect(
      socket.fd(), reinterpret_cast<const sockaddr*>(&raw), sizeof(raw));
  if (result != 0 && errno != EINPROGRESS) {
    return SystemError(ResultCode::kInternal, "connect", errno);
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
  std::array<std::uint8_t, kReadBufferBytes> buffer;
  while (true) {
    const ssize_t received_bytes =
        recv(socket_.fd(), buffer.data(), buffer.size(), 0);
    if (received_bytes < 0) {
      return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
    }
    if (received_bytes == 0) {
      return false;
    }
    last_activity_ = now;
    bytes_received_ += static_cast<std::uint64_t>(received_bytes);
    const auto size = static_cast<std::size_t>(received_bytes);
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
    if (output_sent_ == output_.size()) {
      output_.clear();
      output_sent_ = 0;
      while (output_.size() < kWriteBatchBytes) {
        const auto bytes = stream_->NextOutput();
        if (bytes.empty()) {
          break;
        }
        output_.insert(output_.end(), bytes.begin(), bytes.end());
      }
      if (output_.empty()) {
        return true;
      }
    }
    const ssize_t sent_bytes =
        send(socket_.fd(), output_.data() + output_sent_,
             output_.size() - output_sent_, MSG_NOSIGNAL);
    if (sent_bytes < 0) {
      return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
    }
    output_sent_ += static_cast<std::size_t>(sent_bytes);
    bytes_sent_ += static_cast<std::uint64_t>(sent_bytes);
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
