#ifndef GCW_SRC_API_SOCKET_STREAM_H_
#define GCW_SRC_API_SOCKET_STREAM_H_

#include <httplib.h>

#include <array>
#include <cstddef>
#include <string>

namespace gcw::api {

// Reads and writes a connection for the HTTP library, with buffered reads. Does
// not own the descriptor. Not thread-safe.
class SocketStream : public httplib::Stream {
 public:
  // A read or write fails if it cannot go on for `timeout_ms`.
  SocketStream(int fd, int timeout_ms) : fd_(fd), timeout_ms_(timeout_ms) {}

  // Whether bytes have been received that were not read.
  bool has_buffered() const { return begin_ < end_; }

  bool is_readable() const override;
  bool is_writable() const override;
  ssize_t read(char* data, std::size_t size) override;
  ssize_t write(const char* data, std::size_t size) override;
  void get_remote_ip_and_port(std::string& ip, int& port) const override;
  void get_local_ip_and_port(std::string& ip, int& port) const override;
  socket_t socket() const override { return fd_; }

 private:
  bool WaitFor(short events, int timeout_ms) const;

  const int fd_;
  const int timeout_ms_;
  std::array<char, 4096> buffer_;
  std::size_t begin_ = 0;  // Of the unread bytes in `buffer_`.
  std::size_t end_ = 0;
};

}  // namespace gcw::api

#endif  // GCW_SRC_API_SOCKET_STREAM_H_
