#ifndef GCW_SRC_API_HTTP_SERVER_H_
#define GCW_SRC_API_HTTP_SERVER_H_

#include <httplib.h>

#include <atomic>
#include <cstddef>

#include "absl/time/time.h"
#include "src/api/connection_waiter.h"
#include "src/daemon/connection_thread_pool.h"

namespace gcw::api {

// Bounds of an HttpServer.
struct HttpServerLimits {
  // Connections that are served at the same time, with a thread each.
  std::size_t threads = 256;
  // Connections whose request has arrived and waits for a thread. Further ones
  // are closed.
  std::size_t queued = 256;
  // Connections between requests; see ConnectionWaiter.
  std::size_t idle = 512;
  absl::Duration idle_timeout = absl::Seconds(2);
  absl::Duration read_timeout = absl::Seconds(5);  // Also for writes.
};

// The HTTP library's server with connections of its own: a connection occupies
// a thread only while a request on it is served, and is closed after a request
// whose body was not read in full, since the rest would be taken as the next
// request. Thread-safe like httplib::Server.
class HttpServer : public httplib::Server {
 public:
  explicit HttpServer(const HttpServerLimits& limits);
  // Precondition: the thread of ServeOnThread() has ended.
  ~HttpServer() override;

  // Starts to wait for requests. Returns false if the process has no descriptor
  // left. Call it before the server listens.
  bool Start() { return waiter_.Start(); }
  // Closes idle connections, and waits until the requests in progress have been
  // answered. Precondition: the thread of ServeOnThread() has ended.
  // Idempotent.
  void StopConnections();

  // Closes the connection of the request that this thread serves after
  // `response`, which says so. Call it from a handler.
  static void CloseAfter(httplib::Response& response);

 private:
  // Takes a new connection.
  bool process_and_close_socket(socket_t socket) override;
  // Queues a connection on which bytes have arrived.
  void Enqueue(int fd);
  // Serves the requests that have arrived on the connection.
  void Serve(int fd);
  // Serves one request. Returns whether the connection can take another one.
  // Sets `unread` if bytes of the request may be left.
  bool ServeRequest(httplib::Stream& stream, bool& unread);

  const HttpServerLimits limits_;
  std::atomic<bool> stopping_ = false;
  std::atomic<std::size_t> active_ = 0;  // Queued or served.
  daemon::ConnectionThreadPool pool_;
  ConnectionWaiter waiter_;
};

}  // namespace gcw::api

#endif  // GCW_SRC_API_HTTP_SERVER_H_
