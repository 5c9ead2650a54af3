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
#include "src/kernel/socket.h"

namespace gcw::control {

using kernel::Socket;

// Sets the options that both sides of a connection have.
void SetTcpOptions(int fd);
// Starts to connect from the local address `from_ip` to `to`. The socket
// becomes writable when the connection is established or has failed. Fails with
// kInternal.
Result<Socket> StartConnect(std::uint32_t from_ip, const Endpoint& to);
// Whether a connection that StartConnect() began was established.
bool IsConnected(const Socket& socket);

// One TCP connection and the HTTP/2 stream on it. Not thread-safe.
class Connection {
 public:
  Connection(Socket socket, std::unique_ptr<HttpStream> stream, absl::Time now);

  // Reads and processes the bytes that have arrived. Returns false if the
  // connection has ended or must be closed.
  bool Read(absl::Time now);
  // Writes as much as the socket accepts. Returns false if the connection has
  // failed.
  bool Write(absl::Time now);

  // Whether output is waiting until the socket becomes writable.
  bool blocked() const { return output_sent_ < output_.size(); }
  int fd() const { return socket_.fd(); }
  HttpStream& stream() { return *stream_; }
  // When a byte was last sent or received.
  absl::Time last_activity() const { return last_activity_; }
  // When the socket last accepted a byte, or ResetProgress() was called.
  absl::Time last_progress() const { return last_progress_; }
  // Call while there is nothing to send, so that an idle connection does not
  // count as stalled.
  void ResetProgress(absl::Time now) { last_progress_ = now; }
  // The bytes sent or received since the last call of the respective method.
  std::uint64_t TakeBytesSent();
  std::uint64_t TakeBytesReceived();

 private:
  Socket socket_;
  std::unique_ptr<HttpStream> stream_;
  std::vector<std::uint8_t> output_;
  std::size_t output_sent_ = 0;  // How much of `output_` has been sent.
  absl::Time last_activity_;
  absl::Time last_progress_;
  std::uint64_t bytes_sent_ = 0;
  std::uint64_t bytes_received_ = 0;
};

}  // namespace gcw::control

#endif  // GCW_SRC_CONTROL_CONNECTION_H_
