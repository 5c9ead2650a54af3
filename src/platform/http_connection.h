#ifndef SRC_PLATFORM_HTTP_CONNECTION_H_
#define SRC_PLATFORM_HTTP_CONNECTION_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "gcw/base/endpoint.h"
#include "gcw/base/result.h"
#include "src/platform/body_sink.h"

namespace gcw::platform {

// Options of HttpConnection.
struct HttpConnectionOptions {
  Endpoint server;
  std::uint32_t bind_ip = 0;  // Local address of the connection; 0: any.
  absl::Duration connect_timeout;
  // An exchange fails if nothing can be sent for this time, or nothing is
  // received for this time and HttpExchange::wait.
  absl::Duration call_timeout;
  // Interval of TCP keep-alive probes, in whole seconds. Zero: no probes.
  absl::Duration keep_alive_interval;
  // A connection that was idle for longer is replaced.
  absl::Duration max_idle = absl::InfiniteDuration();
};

// A request and the limits of its answer.
struct HttpExchange {
  std::string_view method;
  std::string_view target;
  std::string_view content_type;  // Empty: the request has no body.
  std::string_view body;
  std::string_view header;  // The name of the answer's header to return.
  // How long the server may take before it begins its answer.
  absl::Duration wait = absl::ZeroDuration();
  // The largest answer, with its header block and chunk lines.
  std::uint64_t max_answer_bytes = 0;
};

// An answer whose body the sink has received.
struct HttpAnswer {
  int status = 0;
  std::optional<std::string> header;  // The value of HttpExchange::header.

  bool IsSuccess() const { return status >= 200 && status < 300; }
};

// Client side of HTTP/1.1 with one persistent connection. Whatever the server
// sends, an exchange uses a bounded amount of memory and ends: the header
// block, the lines between chunks, the number of interim answers, the length
// and the time of an answer are limited. Compressed bodies are refused and
// redirects are not followed. Only one thread may use an instance at a time,
// but any thread may call Cancel().
class HttpConnection {
 public:
  // Does not connect yet.
  explicit HttpConnection(const HttpConnectionOptions& options);
  ~HttpConnection();

  // The time from construction to destruction in which Cancel() ends the
  // exchanges. One caller's exchanges that belong together share one.
  class Operation {
   public:
    explicit Operation(HttpConnection& connection);
    ~Operation();
    Operation(const Operation&) = delete;
    Operation& operator=(const Operation&) = delete;

   private:
    HttpConnection& connection_;
  };

  // Sends the request and passes the body of a successful answer to `sink`. The
  // body of another answer is dropped. The connection is kept if the answer
  // allows it. Fails with
  // - kPlatformUnavailable if the request cannot have reached the server,
  // - kPlatformOutcomeUnknown if no complete answer came in time,
  // - kPlatformBadAnswer if the answer is no HTTP or exceeds a limit,
  // - the error of the sink.
  // Precondition: an Operation exists.
  Result<HttpAnswer> Exchange(const HttpExchange& exchange, BodySink& sink);

  // Ends the exchange in progress with kPlatformUnavailable or
  // kPlatformOutcomeUnknown, and fails later ones of the same Operation.
  // Without an operation, closes the connection. Thread-safe.
  void Cancel();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gcw::platform

#endif  // SRC_PLATFORM_HTTP_CONNECTION_H_
