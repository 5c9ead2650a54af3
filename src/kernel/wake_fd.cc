#include "gcw/kernel/wake_fd.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <utility>

#include "gcw/base/system_error.h"

namespace gcw::kernel {

Result<WakeFd> WakeFd::Make() {
  const int fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  if (fd < 0) {
    return SystemError(ResultCode::kInternal, "eventfd", errno);
  }
  return WakeFd(fd);
}

WakeFd::WakeFd(WakeFd&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}

WakeFd& WakeFd::operator=(WakeFd&& other) noexcept {
  std::swap(fd_, other.fd_);
  return *this;
}

WakeFd::~WakeFd() {
  if (fd_ >= 0) {
    close(fd_);
  }
}

void WakeFd::Wake() {
  const std::uint64_t one = 1;
  [[maybe_unused]] const ssize_t written = write(fd_, &one, sizeof(one));
}

void WakeFd::Drain() {
  std::uint64_t count = 0;
  [[maybe_unused]] const ssize_t bytes_read = read(fd_, &count, sizeof(count));
}

}  // namespace gcw::kernel
