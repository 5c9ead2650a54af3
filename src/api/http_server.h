#ifndef GCW_SRC_API_HTTP_SERVER_H_
#define GCW_SRC_API_HTTP_SERVER_H_

#include <httplib.h>

#include <cstddef>

#include "absl/time/time.h"
#include "src/daemon/connection_thread_pool.h"

namespace gcw::api {

// Bounds of an HttpServer.
struct HttpServerLimits {
  // Connections that are served at the same time, with a thread each.
  std::size_t threads = 256;
  absl::Duration idle_timeout = absl::Seconds(2);
  absl::Duration read_timeout = absl::Seconds(5);  // Also for writes.
};

// The HTTP library's server with connections of its own: a connection is closed
// after a request whose body was not read in full, since the rest would be
// taken as the next request. Thread-safe like httplib::Server.
class HttpServer : public httplib::Server {
 public:
  explicit HttpServer(const HttpServerLimits& limits);

  // Closes the connection of the request that this thread serves after
  // `response`, which says so. Call it from a handler.
  static void CloseAfter(httplib::Response& response);

 private:
  // Serves a connection until it is closed.
  bool process_and_close_socket(socket_t socket) override;
  // Serves one request. Returns whether the connection can take another one.
  // Sets `unread` if bytes of the request may be left.
  bool ServeRequest(httplib::Stream& stream, bool& unread);

  const HttpServerLimits limits_;
};

}  // namespace gcw::api

#endif  // GCW_SRC_API_HTTP_SERVER_H_
