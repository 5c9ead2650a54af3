#include "src/kernel/socket.h"

#include <unistd.h>

#include <utility>

namespace gcw::kernel {

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

}  // namespace gcw::kernel
