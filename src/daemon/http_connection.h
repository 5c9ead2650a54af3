#ifndef GCW_DAEMON_HTTP_CONNECTION_H_
#define GCW_DAEMON_HTTP_CONNECTION_H_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "src/kernel/socket.h"

namespace gcw::daemon {

// The server's side of one HTTP connection, for one request. Never blocks. Not
// thread-safe.
class HttpConnection {
 public:
  enum class State {
    kReceiving,  // The request has not arrived yet.
    kSending,    // The response waits until the socket takes more of it.
    kClosing,    // All is sent; the client has not closed yet.
    kClosed,
  };
  // Returns the bytes of the response to a request, of which it gets the
  // request line and the header fields.
  using Responder = std::function<std::string(std::string_view head)>;

  // `socket` must not block. `now` is monotonic time.
  HttpConnection(kernel::Socket socket, absl::Time now);

  // Receives and sends what is possible now. Closes the connection if its
  // deadline has passed even so.
  void Advance(const Responder& respond);

  State state() const { return state_; }
  int fd() const { return socket_.fd(); }
  // The events of poll() that it waits for.
  short poll_events() const;
  // When Advance() must be called without an event, in monotonic time.
  absl::Time deadline() const { return deadline_; }

 private:
  void Receive(const Responder& respond);
  void StartResponse(std::string response);
  void Send();
  void DiscardInput();
  void Close();
  void Reset();

  kernel::Socket socket_;
  State state_ = State::kReceiving;
  absl::Time deadline_;
  std::string head_;      // What has arrived of the request.
  std::string response_;  // What is being sent.
  std::size_t sent_ = 0;  // How much of `response_` has been sent.
};

}  // namespace gcw::daemon

#endif  // GCW_DAEMON_HTTP_CONNECTION_H_
