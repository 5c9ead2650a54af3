#ifndef GCW_DAEMON_HTTP_ENDPOINT_H_
#define GCW_DAEMON_HTTP_ENDPOINT_H_

#include <cstdint>
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
};

// Counters since the endpoint was made.
struct HttpEndpointStats {
  std::uint64_t closed_for_room = 0;  // Connections, in favour of new ones.
  std::uint64_t accept_pauses = 0;    // Out of descriptors or memory.
};

// A small HTTP server that answers GET and HEAD requests for one path, one
// request a connection, on one thread of its own. Serves at most 64 connections
// and a sixteenth of the process's descriptors at the same time, but at least
// 8; at the bound, the one that is missed least is closed in favour of a new
// one. A client has 1 s to send its request and 2 s to take the response and
// close the connection. Thread-safe.
class HttpEndpoint {
 public:
  // Makes the response to each request. Called on the endpoint's thread, so
  // requests wait for each other.
  using Handler = std::function<HttpAnswer()>;

  // Starts to serve. Fails with kBindFailed if the address cannot be listened
  // on, and with kInternal if the process is out of file descriptors or
  // threads.
  static Result<std::unique_ptr<HttpEndpoint>> Make(
      const HttpEndpointOptions& options,
      Handler handler);
  // Stops serving and waits for the thread.
  ~HttpEndpoint();
  HttpEndpoint(const HttpEndpoint&) = delete;
  HttpEndpoint& operator=(const HttpEndpoint&) = delete;

  // The address and port on which the endpoint listens.
  Endpoint endpoint() const;
  // The current counters.
  HttpEndpointStats stats() const;

 private:
  class Impl;
  explicit HttpEndpoint(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace gcw::daemon

#endif  // GCW_DAEMON_HTTP_ENDPOINT_H_
