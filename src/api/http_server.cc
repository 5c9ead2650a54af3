#include "src/api/http_server.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <string>

#include "absl/time/clock.h"
#include "src/api/socket_stream.h"

namespace gcw::api {
namespace {

// How long a connection that is closed early still takes what the client sends.
// Closing it at once would reset it, and the client might lose the response.
constexpr absl::Duration kDrainTime = absl::Seconds(1);

// See HttpServer::CloseAfter().
thread_local bool close_after_response = false;

// Runs tasks at once: HttpServer only hands new connections over in them.
class ImmediateTaskQueue : public httplib::TaskQueue {
 public:
  void enqueue(std::function<void()> task) override { task(); }
  void shutdown() override {}
};

// Whether the library leaves the body of `request`, if it has one, unread.
bool HasUnreadBody(const httplib::Request& request) {
  const std::string length = request.get_header_value("Content-Length");
  const bool has_length = !length.empty() && length != "0";
  const bool is_chunked = request.has_header("Transfer-Encoding");
  if (request.method == "POST" || request.method == "PUT" ||
      request.method == "PATCH") {
    return false;
  }
  // The body of a DELETE is read only by its length.
  return is_chunked || (has_length && request.method != "DELETE");
}

void CloseAfterDraining(int fd) {
  shutdown(fd, SHUT_WR);
  const absl::Time end = absl::Now() + kDrainTime;
  char buffer[4096];
  pollfd entry{fd, POLLIN, 0};
  while (true) {
    const auto left = absl::ToInt64Milliseconds(end - absl::Now());
    if (left <= 0 || poll(&entry, 1, static_cast<int>(left)) <= 0 ||
        recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT) <= 0) {
      break;
    }
  }
  close(fd);
}

}  // namespace

HttpServer::HttpServer(const HttpServerLimits& limits)
    : limits_(limits),
      pool_(limits.threads),
      waiter_(limits.idle, limits.idle_timeout, [this](int fd) {
        Enqueue(fd);
      }) {
  new_task_queue = [] { return new ImmediateTaskQueue; };
}

HttpServer::~HttpServer() {
  StopConnections();
}

void HttpServer::StopConnections() {
  stopping_ = true;
  waiter_.Stop();
  pool_.shutdown();
}

void HttpServer::CloseAfter(httplib::Response& response) {
  response.set_header("Connection", "close");
  close_after_response = true;
}

bool HttpServer::process_and_close_socket(socket_t socket) {
  waiter_.Add(socket);
  return true;
}

void HttpServer::Enqueue(int fd) {
  if (active_ >= limits_.threads + limits_.queued) {
    close(fd);
    return;
  }
  ++active_;
  pool_.enqueue([this, fd] {
    Serve(fd);
    --active_;
  });
}

void HttpServer::Serve(int fd) {
  SocketStream stream(
      fd, static_cast<int>(absl::ToInt64Milliseconds(limits_.read_timeout)));
  bool unread = false;
  do {
    if (!ServeRequest(stream, unread)) {
      if (unread) {
        CloseAfterDraining(fd);
      } else {
        close(fd);
      }
      return;
    }
  } while (stream.has_buffered());
  waiter_.Add(fd);
}

bool HttpServer::ServeRequest(httplib::Stream& stream, bool& unread) {
  bool closed = false;
  // Stays set if the header is malformed, after which the library does not read
  // on.
  unread = true;
  close_after_response = false;
  const bool answered = process_request(
      stream, stopping_, closed, [&unread](httplib::Request& request) {
        unread = HasUnreadBody(request);
        if (unread) {
          // Makes the library announce the end of the connection.
          request.headers.erase("Connection");
          request.set_header("Connection", "close");
        }
      });
  unread = answered && (unread || close_after_response);
  return answered && !closed && !unread && !stopping_;
}

}  // namespace gcw::api
