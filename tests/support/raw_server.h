#ifndef GCW_TESTS_SUPPORT_RAW_SERVER_H_
#define GCW_TESTS_SUPPORT_RAW_SERVER_H_

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <functional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "gcw/base/endpoint.h"

namespace gcw {

// A TCP server for answers that no HTTP library writes. Each connection runs a
// handler on a thread of its own.
class RawServer {
 public:
  // One accepted connection.
  class Connection {
   public:
    Connection(int socket, const std::atomic<bool>& stopping)
        : socket_(socket), stopping_(stopping) {}
    ~Connection() { close(socket_); }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    // Reads up to the end of the next request's header block. Returns the
    // text, which is empty once the peer has closed or the server stops.
    std::string ReadHead() {
      std::string head;
      while (head.find("\r\n\r\n") == std::string::npos) {
        char byte = 0;
        if (!Wait(POLLIN) || recv(socket_, &byte, 1, 0) != 1) {
          return {};
        }
        head.push_back(byte);
      }
      return head;
    }

    // Writes all bytes. Returns false once the peer has closed or the server
    // stops.
    bool Write(std::string_view bytes) {
      while (!bytes.empty()) {
        if (!Wait(POLLOUT)) {
          return false;
        }
        const ssize_t sent = send(socket_, bytes.data(), bytes.size(),
                                  MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent < 0) {
          return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
      }
      return true;
    }

    // Whether the server is about to end.
    bool stopping() const { return stopping_.load(); }

   private:
    bool Wait(short events) {
      while (!stopping_.load()) {
        pollfd ready{socket_, events, 0};
        const int count = poll(&ready, 1, 50);
        if (count != 0) {
          return count > 0 && (ready.revents & events) != 0;
        }
      }
      return false;
    }

    const int socket_;
    const std::atomic<bool>& stopping_;
  };
  using Handler = std::function<void(Connection&)>;

  // Listens on `listen`, by default on a free port of 127.0.0.1.
  explicit RawServer(Handler handler, const Endpoint& listen = {0x7f000001, 0})
      : handler_(std::move(handler)) {
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = listen.ToSockaddr();
    socklen_t length = sizeof(address);
    REQUIRE(bind(listener_, reinterpret_cast<sockaddr*>(&address), length) ==
            0);
    REQUIRE(::listen(listener_, SOMAXCONN) == 0);
    getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &length);
    endpoint_ = Endpoint::FromSockaddr(address);
    acceptor_ = std::thread([this] { Accept(); });
  }
  ~RawServer() {
    stopping_ = true;
    acceptor_.join();
    for (std::thread& thread : threads_) {
      thread.join();
    }
    close(listener_);
  }

  Endpoint endpoint() const { return endpoint_; }

 private:
  void Accept() {
    while (!stopping_.load()) {
      pollfd ready{listener_, POLLIN, 0};
      if (poll(&ready, 1, 50) <= 0) {
        continue;
      }
      const int accepted = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) {
        continue;
      }
      threads_.emplace_back([this, accepted] {
        Connection connection(accepted, stopping_);
        handler_(connection);
      });
    }
  }

  const Handler handler_;
  int listener_ = -1;
  Endpoint endpoint_;
  std::atomic<bool> stopping_{false};
  std::thread acceptor_;
  std::vector<std::thread> threads_;  // Used by `acceptor_` until it has ended.
};

}  // namespace gcw

#endif  // GCW_TESTS_SUPPORT_RAW_SERVER_H_
