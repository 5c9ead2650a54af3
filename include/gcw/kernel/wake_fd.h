#ifndef GCW_KERNEL_WAKE_FD_H_
#define GCW_KERNEL_WAKE_FD_H_

#include "gcw/base/result.h"

namespace gcw::kernel {

// A descriptor that one thread makes readable for another. Owns it.
class WakeFd {
 public:
  // Fails with kInternal if the process is out of descriptors.
  static Result<WakeFd> Make();

  WakeFd(WakeFd&& other) noexcept;
  WakeFd& operator=(WakeFd&& other) noexcept;
  ~WakeFd();

  // The descriptor, for an EventLoop. Thread-safe.
  int fd() const { return fd_; }
  // Makes the descriptor readable. Thread-safe.
  void Wake();
  // Makes it unreadable again. Thread-safe.
  void Drain();

 private:
  explicit WakeFd(int fd) : fd_(fd) {}

  int fd_ = -1;
};

}  // namespace gcw::kernel

#endif  // GCW_KERNEL_WAKE_FD_H_
