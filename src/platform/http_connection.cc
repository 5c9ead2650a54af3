#include "src/platform/http_connection.h"

#include <fmt/format.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <limits>
#include <memory>
#include <utility>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "src/platform/answer_parser.h"

namespace gcw::platform {
namespace {

using Clock = std::chrono::steady_clock;

constexpr int kMaxInterimAnswers = 10;
// The body of an error is read up to this size to keep the connection.
constexpr std::uint64_t kMaxErrorBytes = 64 * 1024;
// An answer that is slower ends the exchange.
constexpr double kMinBytesPerSecond = 16 * 1024;
// The kernel closes a connection after this many unanswered keep-alive probes.
constexpr int kMaxMissedProbes = 2;

// The request cannot have reached the server.
Error NotSent(std::string_view why) {
  return {ResultCode::kPlatformUnavailable, "",
          fmt::format("no connection to the platform: {}", why)};
}

Error NoAnswer(std::string_view why) {
  return {ResultCode::kPlatformOutcomeUnknown, "",
          fmt::format("no answer from the platform: {}", why)};
}

Error BadAnswer(std::string_view why) {
  return {ResultCode::kPlatformBadAnswer, "",
          fmt::format("the platform's answer is refused: {}", why)};
}

std::string SystemError(int number) {
  std::array<char, 128> text{};
  return strerror_r(number, text.data(), text.size());
}

// Milliseconds to pass to poll(), rounded up.
int PollTimeout(absl::Duration left) {
  const std::int64_t ms =
      absl::ToInt64Milliseconds(absl::Ceil(left, absl::Milliseconds(1)));
  return static_cast<int>(
      std::clamp<std::int64_t>(ms, 0, std::numeric_limits<int>::max()));
}

// Turns on TCP keep-alive probes, so that a dead connection is closed.
void EnableKeepAlive(int socket, absl::Duration interval) {
  const int on = 1;
  const auto seconds = static_cast<int>(absl::ToInt64Seconds(interval));
  const auto timeout_ms = static_cast<unsigned>(
      absl::ToInt64Milliseconds(kMaxMissedProbes * interval));
  setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &seconds, sizeof(seconds));
  setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &seconds, sizeof(seconds));
  setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &kMaxMissedProbes,
             sizeof(kMaxMissedProbes));
  setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
             sizeof(timeout_ms));
}

std::string FormatRequest(const HttpExchange& exchange,
                          const Endpoint& server) {
  std::string text = fmt::format(
      "{} {} HTTP/1.1\r\nHost: {}\r\nAccept: */*\r\n"
      "Accept-Encoding: identity\r\n",
      exchange.method, exchange.target, ToString(server));
  if (!exchange.content_type.empty()) {
    text += fmt::format("Content-Type: {}\r\nContent-Length: {}\r\n",
                        exchange.content_type, exchange.body.size());
  }
  text += "\r\n";
  text += exchange.body;
  return text;
}

// When an exchange has to end.
class Deadlines {
 public:
  // The server may take `quiet` to send or receive anything.
  explicit Deadlines(absl::Duration quiet)
      : quiet_(quiet), start_(Clock::now()), last_(start_) {}

  void OnBytes(std::size_t count) {
    bytes_ += static_cast<double>(count);
    last_ = Clock::now();
  }

  // The time left.
  absl::Duration Left() const {
    const auto now = Clock::now();
    const absl::Duration allowed =
        quiet_ + absl::Seconds(bytes_ / kMinBytesPerSecond);
    return std::min(quiet_ - absl::FromChrono(now - last_),
                    allowed - absl::FromChrono(now - start_));
  }

 private:
  const absl::Duration quiet_;
  const Clock::time_point start_;
  Clock::time_point last_;  // When bytes were sent or received last.
  double bytes_ = 0;
};

// The received bytes that the parser has not taken yet.
class ReceiveBuffer {
 public:
  // A header block or a line between chunks has to fit.
  static constexpr std::size_t kCapacity = kMaxHeaderBytes;

  ReceiveBuffer() : bytes_(new char[kCapacity]) {}

  boost::asio::const_buffer filled() const {
    return {bytes_.get() + begin_, size()};
  }
  std::size_t size() const { return end_ - begin_; }
  bool full() const { return size() == kCapacity; }

  void Consume(std::size_t count) { begin_ += count; }

  // Returns the free space, which is not empty unless the buffer is full.
  boost::asio::mutable_buffer Free() {
    std::memmove(bytes_.get(), bytes_.get() + begin_, size());
    end_ -= begin_;
    begin_ = 0;
    return {bytes_.get() + end_, kCapacity - end_};
  }
  void OnReceived(std::size_t count) { end_ += count; }

 private:
  const std::unique_ptr<char[]> bytes_;  // NOLINT(modernize-avoid-c-arrays)
  std::size_t begin_ = 0;
  std::size_t end_ = 0;
};

}  // namespace

class HttpConnection::Impl {
 public:
  explicit Impl(const HttpConnectionOptions& options) : options_(options) {}
  ~Impl() { Close(); }

  void Begin() {
    const absl::MutexLock lock(&mutex_);
    busy_ = true;
    cancelled_ = false;
  }

  void End() {
    const absl::MutexLock lock(&mutex_);
    busy_ = false;
  }

  void Cancel() {
    const absl::MutexLock lock(&mutex_);
    cancelled_ = busy_;
    if (socket_ >= 0) {
      // Wakes the thread that waits for the socket. Without an operation, the
      // next one finds the connection dead.
      shutdown(socket_, SHUT_RDWR);
    }
  }

  Result<HttpAnswer> Exchange(const HttpExchange& exchange, BodySink& sink) {
    const Status connected = EnsureConnected();
    if (!connected.ok()) {
      Close();
      return connected.error();
    }
    Result<HttpAnswer> answer = ExchangeConnected(exchange, sink);
    last_exchange_ = Clock::now();
    if (!answer.ok() || !reusable_) {
      Close();
    }
    return answer;
  }

 private:
  // Sends and receives over the open connection. Sets `reusable_` if it can be
  // used for the next exchange.
  Result<HttpAnswer> ExchangeConnected(const HttpExchange& exchange,
                                       BodySink& sink) {
    reusable_ = false;
    const Status sent = Send(FormatRequest(exchange, options_.server));
    if (!sent.ok()) {
      return sent.error();
    }
    return Receive(exchange, sink);
  }

  // Connecting.

  Status EnsureConnected() {
    if (IsUsable()) {
      return cancelled_ ? NotSent("cancelled") : OkStatus();
    }
    Close();
    const Status started = StartConnecting();
    return started.ok() ? FinishConnecting() : started;
  }

  // Whether the open connection can carry an exchange. After a long idle time
  // it may no longer work although nothing shows it; the call would then wait
  // for its timeout.
  bool IsUsable() const {
    if (socket_ < 0 ||
        absl::FromChrono(Clock::now() - last_exchange_) > options_.max_idle) {
      return false;
    }
    // The server has closed it, or sends what nobody has asked for.
    char byte = 0;
    return recv(socket_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
           (errno == EAGAIN || errno == EINTR);
  }

  Status StartConnecting() {
    const int made =
        socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (made < 0) {
      return NotSent(SystemError(errno));
    }
    // Cancel() finds a socket that already connects, or none.
    const absl::MutexLock lock(&mutex_);
    socket_ = made;
    if (cancelled_) {
      return NotSent("cancelled");
    }
    SetOptions();
    const sockaddr_in local = Endpoint{options_.bind_ip, 0}.ToSockaddr();
    if (options_.bind_ip != 0 &&
        bind(socket_, reinterpret_cast<const sockaddr*>(&local),
             sizeof(local)) != 0) {
      return NotSent(SystemError(errno));
    }
    const sockaddr_in server = options_.server.ToSockaddr();
    if (connect(socket_, reinterpret_cast<const sockaddr*>(&server),
                sizeof(server)) != 0 &&
        errno != EINPROGRESS) {
      return NotSent(SystemError(errno));
    }
    return OkStatus();
  }

  void SetOptions() const {
    const int on = 1;
    setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (options_.keep_alive_interval > absl::ZeroDuration()) {
      EnableKeepAlive(socket_, options_.keep_alive_interval);
    }
  }

  Status FinishConnecting() {
    const auto deadline =
        Clock::now() + absl::ToChronoNanoseconds(options_.connect_timeout);
    if (!Wait(POLLOUT,
              [&] { return absl::FromChrono(deadline - Clock::now()); })) {
      return NotSent(cancelled_ ? "cancelled" : "connecting took too long");
    }
    int error = 0;
    socklen_t length = sizeof(error);
    getsockopt(socket_, SOL_SOCKET, SO_ERROR, &error, &length);
    return error == 0 ? OkStatus() : NotSent(SystemError(error));
  }

  void Close() {
    const absl::MutexLock lock(&mutex_);
    if (socket_ >= 0) {
      close(socket_);
    }
    socket_ = -1;
  }

  // Sending and receiving.

  Status Send(std::string_view text) {
    Deadlines deadlines(options_.call_timeout);
    while (!text.empty()) {
      const ssize_t count =
          send(socket_, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
      if (count > 0) {
        deadlines.OnBytes(static_cast<std::size_t>(count));
        text.remove_prefix(static_cast<std::size_t>(count));
        continue;
      }
      if (!IsTemporary(errno)) {
        return NoAnswer(cancelled_ ? "cancelled" : SystemError(errno));
      }
      if (!Wait(POLLOUT, [&] { return deadlines.Left(); })) {
        return NoAnswer(cancelled_ ? "cancelled" : "sending took too long");
      }
    }
    return OkStatus();
  }

  // Receives the final answer and the interim ones before it.
  Result<HttpAnswer> Receive(const HttpExchange& exchange, BodySink& sink) {
    Deadlines deadlines(options_.call_timeout + exchange.wait);
    ReceiveBuffer buffer;
    std::uint64_t received = 0;
    for (int interim = 0; interim <= kMaxInterimAnswers; ++interim) {
      AnswerParser parser(exchange, sink);
      const Status read =
          ReceiveOne(exchange, buffer, parser, received, deadlines);
      if (!read.ok()) {
        return read.error();
      }
      if (!parser.is_interim()) {
        reusable_ = parser.is_done() && parser.keep_alive() &&
                    buffer.size() == 0 && !cancelled_;
        return parser.answer();
      }
    }
    return BadAnswer(
        fmt::format("more than {} interim answers", kMaxInterimAnswers));
  }

  // Receives until `parser` has a whole answer, or enough of an error's.
  Status ReceiveOne(const HttpExchange& exchange,
                    ReceiveBuffer& buffer,
                    AnswerParser& parser,
                    std::uint64_t& received,
                    Deadlines& deadlines) {
    while (true) {
      Status parsed = Parse(buffer, parser);
      if (!parsed.ok() || parser.is_done()) {
        return parsed;
      }
      if (IsErrorToDrop(parser, received)) {
        return OkStatus();
      }
      if (buffer.full()) {
        return BadAnswer("a header or a chunk line is too long");
      }
      if (received > exchange.max_answer_bytes) {
        return BadAnswer(
            fmt::format("more than {} bytes", exchange.max_answer_bytes));
      }
      const Result<std::size_t> more = ReceiveMore(buffer, deadlines);
      if (!more.ok()) {
        return more.error();
      }
      if (more.value() == 0) {
        return FinishAtEnd(parser);
      }
      received += more.value();
    }
  }

  // Whether the answer is an error with a body that is too long to read.
  static bool IsErrorToDrop(const AnswerParser& parser,
                            std::uint64_t received) {
    return parser.is_header_done() && !parser.answer().IsSuccess() &&
           received > kMaxErrorBytes;
  }

  // Lets the parser take what it can of the buffer.
  static Status Parse(ReceiveBuffer& buffer, AnswerParser& parser) {
    boost::beast::error_code code;
    if (buffer.size() > 0) {
      buffer.Consume(parser.put(buffer.filled(), code));
    }
    if (parser.error().has_value()) {
      return *parser.error();
    }
    if (code.failed() && code != boost::beast::http::error::need_more) {
      return BadAnswer(code.message());
    }
    return OkStatus();
  }

  // The server has closed the connection, which may end the answer.
  Status FinishAtEnd(AnswerParser& parser) const {
    boost::beast::error_code code = boost::beast::http::error::partial_message;
    if (!cancelled_ && parser.got_some()) {
      parser.put_eof(code);
    }
    return code.failed() ? NoAnswer(cancelled_ ? "cancelled"
                                               : "the connection was closed")
                         : OkStatus();
  }

  // Returns the number of bytes, 0 at the end of the connection.
  Result<std::size_t> ReceiveMore(ReceiveBuffer& buffer, Deadlines& deadlines) {
    const auto space = buffer.Free();
    while (true) {
      if (!Wait(POLLIN, [&] { return deadlines.Left(); })) {
        return NoAnswer(cancelled_ ? "cancelled"
                                   : "it took too long or came too slowly");
      }
      const ssize_t count =
          recv(socket_, space.data(), space.size(), MSG_DONTWAIT);
      if (count >= 0) {
        buffer.OnReceived(static_cast<std::size_t>(count));
        deadlines.OnBytes(static_cast<std::size_t>(count));
        return static_cast<std::size_t>(count);
      }
      if (!IsTemporary(errno)) {
        return NoAnswer(cancelled_ ? "cancelled" : SystemError(errno));
      }
    }
  }

  static bool IsTemporary(int error) {
    return error == EAGAIN || error == EINTR;
  }

  // Waits until the socket is ready for `events` or has failed. Returns false
  // if it is not ready once `left` is not positive, or after Cancel(). What
  // arrived while this process was paused is ready, although the time is over.
  template <typename Left>
  bool Wait(short events, const Left& left) {
    while (!cancelled_) {
      const absl::Duration timeout = left();
      pollfd ready{socket_, events, 0};
      if (poll(&ready, 1, PollTimeout(timeout)) > 0) {
        return !cancelled_;
      }
      if (timeout <= absl::ZeroDuration()) {
        return false;
      }
    }
    return false;
  }

  const HttpConnectionOptions options_;
  absl::Mutex mutex_;
  bool busy_ ABSL_GUARDED_BY(mutex_) = false;  // Whether an Operation exists.
  std::atomic<bool> cancelled_ = false;        // Written with `mutex_` held.
  // Changed only by the thread that makes the exchanges, with `mutex_` held, so
  // that Cancel() uses no descriptor that was closed.
  int socket_ = -1;
  bool reusable_ = false;
  Clock::time_point last_exchange_ = Clock::now();
};

HttpConnection::HttpConnection(const HttpConnectionOptions& options)
    : impl_(std::make_unique<Impl>(options)) {}
HttpConnection::~HttpConnection() = default;

HttpConnection::Operation::Operation(HttpConnection& connection)
    : connection_(connection) {
  connection_.impl_->Begin();
}
HttpConnection::Operation::~Operation() {
  connection_.impl_->End();
}

Result<HttpAnswer> HttpConnection::Exchange(const HttpExchange& exchange,
                                            BodySink& sink) {
  return impl_->Exchange(exchange, sink);
}

void HttpConnection::Cancel() {
  impl_->Cancel();
}

}  // namespace gcw::platform
