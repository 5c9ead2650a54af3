#ifndef GCW_SRC_CONTROL_CONNECTION_H_
#define GCW_SRC_CONTROL_CONNECTION_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "absl/time/time.h"
#include "gcw/base/endpoint.h"
#include "gcw/base/result.h"
#include "src/control/http_stream.h"

namespace gcw::control {

// A file descriptor that is closed with its owner.
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

// A listening socket at `address`. Fails with kBindFailed.
Result<Socket> Listen(const Endpoint& address);
// A socket that connects from `from_ip` to `to`; it becomes writable once the
// connection stands or has failed. Fails with kInternal.
Result<Socket> StartConnect(std::uint32_t from_ip, const Endpoint& to);
// The next connection that waits at `listener`, invalid if there is none.
Socket Accept(const Socket& listener, Endpoint& peer);
// Whether the connect that was started has succeeded.
bool IsConnected(const Socket& socket);

// One TCP connection and the HTTP/2 stream on it. Not thread-safe.
class Connection {
 public:
  Connection(Socket socket, std::unique_ptr<HttpStream> stream, absl::Time now);

  // Reads what has arrived. False: the connection is over.
  bool Read(absl::Time now);
  // Writes what can be written. False: the connection is over.
  bool Write(absl::Time now);

  // Whether bytes wait for the socket to take them.
  bool blocked() const { return sent_ < pending_.size(); }
  int fd() const { return socket_.fd(); }
  HttpStream& stream() { return *stream_; }
  // When a byte last went in either direction.
  absl::Time last_activity() const { return last_activity_; }
  // When the peer last took a byte, or nothing was left for it.
  absl::Time last_progress() const { return last_progress_; }
  void NoteNothingLeft(absl::Time now) { last_progress_ = now; }
  std::uint64_t TakeBytesSent();
  std::uint64_t TakeBytesReceived();

 private:
  Socket socket_;
  std::unique_ptr<HttpStream> stream_;
  std::vector<std::uint8_t> pending_;
  std::size_t sent_ = 0;
  absl::Time last_activity_;
  absl::Time last_progress_;
  std::uint64_t bytes_sent_ = 0;
  std::uint64_t bytes_received_ = 0;
};

}  // namespace gcw::control

#endif  // GCW_SRC_CONTROL_CONNECTION_H_
