#include "src/api/socket_stream.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

#include "gcw/base/endpoint.h"

namespace gcw::api {
namespace {

using NameCall = int (*)(int, sockaddr*, socklen_t*);

void ReadName(int fd, NameCall call, std::string& ip, int& port) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  if (call(fd, reinterpret_cast<sockaddr*>(&address), &size) == 0 &&
      address.sin_family == AF_INET) {
    ip = IpToString(ntohl(address.sin_addr.s_addr));
    port = ntohs(address.sin_port);
  }
}

}  // namespace

bool SocketStream::WaitFor(short events, int timeout_ms) const {
  pollfd entry{fd_, events, 0};
  int ready = 0;
  do {
    ready = poll(&entry, 1, timeout_ms);
  } while (ready < 0 && errno == EINTR);
  return ready > 0;
}

bool SocketStream::is_readable() const {
  return has_buffered() || WaitFor(POLLIN, timeout_ms_);
}

bool SocketStream::is_writable() const {
  if (!WaitFor(POLLOUT, timeout_ms_)) {
    return false;
  }
  // A watch learns here that its client has closed the connection.
  char byte = 0;
  return recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) != 0;
}

ssize_t SocketStream::read(char* data, std::size_t size) {
  if (!has_buffered()) {
    if (!WaitFor(POLLIN, timeout_ms_)) {
      return -1;
    }
    const ssize_t received = recv(fd_, buffer_.data(), buffer_.size(), 0);
    if (received <= 0) {
      return received;
    }
    begin_ = 0;
    end_ = static_cast<std::size_t>(received);
  }
  const std::size_t count = std::min(size, end_ - begin_);
  std::memcpy(data, buffer_.data() + begin_, count);
  begin_ += count;
  return static_cast<ssize_t>(count);
}

ssize_t SocketStream::write(const char* data, std::size_t size) {
  if (!is_writable()) {
    return -1;
  }
  return send(fd_, data, size, MSG_NOSIGNAL);
}

void SocketStream::get_remote_ip_and_port(std::string& ip, int& port) const {
  ReadName(fd_, getpeername, ip, port);
}

void SocketStream::get_local_ip_and_port(std::string& ip, int& port) const {
  ReadName(fd_, getsockname, ip, port);
}

}  // namespace gcw::api
