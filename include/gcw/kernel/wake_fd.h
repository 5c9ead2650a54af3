#ifndef GCW_KERNEL_WAKE_FD_H_
#define GCW_KERNEL_WAKE_FD_H_

#include "gcw/base/result.h"

namespace gcw::kernel {

// Owns an eventfd through which any thread can wake up an event loop that
// watches the descriptor.
class WakeFd {
 public:
  // Fails with kInternal if the process is out of file descriptors.
  static Result<WakeFd> Make();

  WakeFd(WakeFd&& other) noexcept;
  WakeFd& operator=(WakeFd&& other) noexcept;
  ~WakeFd();

  // The file descriptor, for an EventLoop. Thread-safe.
  int fd() const { return fd_; }
  // Makes the descriptor readable. Thread-safe.
  void Wake();
  // Resets the descriptor, so that it is not readable until the next Wake().
  // Thread-safe.
  void Drain();

 private:
  explicit WakeFd(int fd) : fd_(fd) {}

  int fd_ = -1;
};

}  // namespace gcw::kernel

#endif  // GCW_KERNEL_WAKE_FD_H_
