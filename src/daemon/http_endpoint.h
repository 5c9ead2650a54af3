#ifndef GCW_DAEMON_HTTP_ENDPOINT_H_
#define GCW_DAEMON_HTTP_ENDPOINT_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "gcw/base/endpoint.h"
#include "gcw/base/result.h"

namespace gcw::daemon {

// The response of an HttpEndpoint.
struct HttpAnswer {
  int status = 200;
  std::string body;
};

struct HttpEndpointOptions {
  Endpoint listen;  // Port 0: any free port.
  std::string path;
  std::string content_type = "text/plain; version=0.0.4";
  std::size_t threads = 1;  // Requests that are answered at the same time.
};

// A small HTTP server that answers GET requests for one path, on threads of its
// own. Thread-safe.
class HttpEndpoint {
 public:
  // Makes the response to each request. Called on the endpoint's threads, so it
  // must be thread-safe.
  using Handler = std::function<HttpAnswer()>;

  // Starts to serve. Fails with kBindFailed. Precondition: options.threads > 0.
  static Result<std::unique_ptr<HttpEndpoint>> Make(
      const HttpEndpointOptions& options,
      Handler handler);
  // Stops serving and waits for the threads.
  ~HttpEndpoint();
  HttpEndpoint(const HttpEndpoint&) = delete;
  HttpEndpoint& operator=(const HttpEndpoint&) = delete;

  // The address and port on which the endpoint listens.
  Endpoint endpoint() const;

 private:
  class Impl;
  explicit HttpEndpoint(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace gcw::daemon

#endif  // GCW_DAEMON_HTTP_ENDPOINT_H_
