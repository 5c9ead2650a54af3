#ifndef GCW_TESTS_SUPPORT_IDLE_CONNECTIONS_H_
#define GCW_TESTS_SUPPORT_IDLE_CONNECTIONS_H_

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <cerrno>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "gcw/base/endpoint.h"

namespace gcw {

// TCP connections that are opened for nothing and stay open on this side,
// whatever the server does.
class IdleConnections {
 public:
  IdleConnections() = default;
  ~IdleConnections() {
    for (const int socket : sockets_) {
      close(socket);
    }
  }
  IdleConnections(const IdleConnections&) = delete;
  IdleConnections& operator=(const IdleConnections&) = delete;

  // Starts to open `count` connections to `server`, without waiting until they
  // are established.
  void Open(const Endpoint& server, std::size_t count) {
    const sockaddr_in raw = server.ToSockaddr();
    for (std::size_t i = 0; i < count; ++i) {
      const int opened =
          socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
      REQUIRE(opened >= 0);
      sockets_.push_back(opened);
      const int result =
          connect(opened, reinterpret_cast<const sockaddr*>(&raw), sizeof(raw));
      REQUIRE((result == 0 || errno == EINPROGRESS));
    }
  }

  // Sends `bytes` on each connection that is still open.
  void SendOnAll(std::string_view bytes) {
    for (const int socket : sockets_) {
      // Fails on a connection that the server has closed.
      (void)send(socket, bytes.data(), bytes.size(),
                 MSG_NOSIGNAL | MSG_DONTWAIT);
    }
  }

  // What the server sends on the first connection until it ends or is silent
  // for a second.
  std::string ReadAnswer() {
    std::string answer;
    char buffer[4096];
    pollfd entry{sockets_.front(), POLLIN, 0};
    while (poll(&entry, 1, 1000) == 1) {
      const ssize_t received = recv(entry.fd, buffer, sizeof(buffer), 0);
      if (received <= 0) {
        break;
      }
      answer.append(buffer, static_cast<std::size_t>(received));
    }
    return answer;
  }

  // The connections that the server has neither closed nor reset. Reads what
  // has arrived on them.
  std::size_t CountOpen() {
    std::size_t open = 0;
    for (const int socket : sockets_) {
      char buffer[4096];
      ssize_t received = 0;
      do {
        received = recv(socket, buffer, sizeof(buffer), MSG_DONTWAIT);
      } while (received > 0);
      open += received < 0 && errno == EAGAIN ? 1 : 0;
    }
    return open;
  }

 private:
  std::vector<int> sockets_;
};

}  // namespace gcw

#endif  // GCW_TESTS_SUPPORT_IDLE_CONNECTIONS_H_
