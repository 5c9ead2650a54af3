#ifndef GCW_SRC_KERNEL_SOCKET_H_
#define GCW_SRC_KERNEL_SOCKET_H_

namespace gcw::kernel {

// Owns a file descriptor and closes it on destruction. Move-only.
class Socket {
 public:
  Socket() = default;
  explicit Socket(int fd) : fd_(fd) {}
  ~Socket();
  Socket(Socket&& other) noexcept;
  Socket& operator=(Socket&& other) noexcept;

  int fd() const { return fd_; }
  bool valid() const { return fd_ >= 0; }

 private:
  int fd_ = -1;
};

}  // namespace gcw::kernel

#endif  // GCW_SRC_KERNEL_SOCKET_H_
