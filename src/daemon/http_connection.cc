#include "src/daemon/http_connection.h"

#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <utility>

#include "gcw/kernel/event_loop.h"
#include "src/daemon/http_message.h"

namespace gcw::daemon {
namespace {

// The time for a client to send its request, and to take the response and close
// the connection.
constexpr absl::Duration kRequestTimeout = absl::Seconds(1);
constexpr absl::Duration kResponseTimeout = absl::Seconds(2);
constexpr std::size_t kReadBufferBytes = 4096;
// What a client sends after its request is read in this many steps at a time.
constexpr int kMaxDiscardsPerCall = 16;
constexpr int kHeadTooLong = 431;
constexpr std::string_view kEndOfHead = "\r\n\r\n";

bool WouldBlock() {
  return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

}  // namespace

HttpConnection::HttpConnection(kernel::Socket socket, absl::Time now)
    : socket_(std::move(socket)), deadline_(now + kRequestTimeout) {}

void HttpConnection::Advance(const Responder& respond) {
  if (state_ == State::kReceiving) {
    Receive(respond);
  }
  if (state_ == State::kSending) {
    Send();
  }
  if (state_ == State::kClosing) {
    DiscardInput();
  }
  if (state_ != State::kClosed && kernel::MonotonicNow() >= deadline_) {
    Reset();
  }
}

short HttpConnection::poll_events() const {
  return state_ == State::kSending ? POLLOUT : POLLIN;
}

void HttpConnection::Receive(const Responder& respond) {
  while (state_ == State::kReceiving) {
    std::array<char, kReadBufferBytes> buffer;
    const ssize_t received =
        recv(socket_.fd(), buffer.data(), buffer.size(), 0);
    if (received < 0 && WouldBlock()) {
      return;
    }
    if (received <= 0) {
      Close();
      return;
    }
    head_.append(buffer.data(), static_cast<std::size_t>(received));
    const std::size_t end = head_.find(kEndOfHead);
    if (end != std::string::npos) {
      StartResponse(
          respond(std::string_view(head_).substr(0, end + kEndOfHead.size())));
    } else if (head_.size() > kMaxRequestHeadBytes) {
      StartResponse(FormatResponse({.status = kHeadTooLong}));
    }
  }
}

void HttpConnection::StartResponse(std::string response) {
  response_ = std::move(response);
  head_ = {};
  state_ = State::kSending;
  deadline_ = kernel::MonotonicNow() + kResponseTimeout;
}

void HttpConnection::Send() {
  while (sent_ < response_.size()) {
    const ssize_t sent = send(socket_.fd(), response_.data() + sent_,
                              response_.size() - sent_, MSG_NOSIGNAL);
    if (sent < 0 && WouldBlock()) {
      return;
    }
    if (sent < 0) {
      Close();
      return;
    }
    sent_ += static_cast<std::size_t>(sent);
  }
  response_ = {};
  state_ = State::kClosing;
  // Fails only if the client has reset the connection, which recv() reports.
  (void)shutdown(socket_.fd(), SHUT_WR);
}

// Reads until the client closes. A close with unread input would reset the
// connection, and the client could lose the response.
void HttpConnection::DiscardInput() {
  for (int i = 0; i < kMaxDiscardsPerCall; ++i) {
    std::array<char, kReadBufferBytes> buffer;
    const ssize_t received =
        recv(socket_.fd(), buffer.data(), buffer.size(), 0);
    if (received < 0 && WouldBlock()) {
      return;
    }
    if (received <= 0) {
      Close();
      return;
    }
  }
}

void HttpConnection::Close() {
  socket_ = kernel::Socket();
  state_ = State::kClosed;
}

// Closes without leaving the kernel unsent bytes to keep.
void HttpConnection::Reset() {
  const linger none{.l_onoff = 1, .l_linger = 0};
  // If it fails, the kernel keeps the bytes until its own timeout.
  (void)setsockopt(socket_.fd(), SOL_SOCKET, SO_LINGER, &none, sizeof(none));
  Close();
}

}  // namespace gcw::daemon
