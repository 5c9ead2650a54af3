#ifndef GCW_TESTS_SUPPORT_SILENT_PROXY_H_
#define GCW_TESTS_SUPPORT_SILENT_PROXY_H_

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <thread>
#include <vector>

#include "gcw/base/endpoint.h"

namespace gcw::test {

// A TCP proxy in front of `target` whose open connections can go silent for
// good: without a reset, they pass on nothing more, while new connections work.
// Runs on a thread of its own. All methods are thread-safe.
class SilentProxy {
 public:
  // Listens at `listen`; with port 0 the system chooses one.
  SilentProxy(const Endpoint& listen, const Endpoint& target)
      : target_(target) {
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int enable = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof(enable));
    sockaddr_in address = listen.ToSockaddr();
    REQUIRE(bind(listener_, reinterpret_cast<const sockaddr*>(&address),
                 sizeof(address)) == 0);
    REQUIRE(::listen(listener_, 64) == 0);
    socklen_t length = sizeof(address);
    getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &length);
    endpoint_ = Endpoint::FromSockaddr(address);
    thread_ = std::thread([this] { Run(); });
  }

  ~SilentProxy() {
    stopping_ = true;
    thread_.join();
    for (const Tunnel& tunnel : tunnels_) {
      close(tunnel.ends[0]);
      close(tunnel.ends[1]);
    }
    close(listener_);
  }

  const Endpoint& endpoint() const { return endpoint_; }
  // Makes the connections that are open now silent for good. They have passed
  // on their last byte when it returns.
  void SilenceOpen() {
    silent_before_ = accepted_.load();
    // The round that is running may still pass on bytes.
    const int round = rounds_;
    while (rounds_ < round + 2) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  }
  // The number of connections so far.
  int accepted() const { return accepted_; }

 private:
  struct Tunnel {
    std::array<int, 2> ends{-1, -1};
    int number = 0;
    bool closed = false;
  };

  void Run() {
    while (!stopping_) {
      ++rounds_;
      std::vector<pollfd> ready{{listener_, POLLIN, 0}};
      for (const Tunnel& tunnel : tunnels_) {
        const bool silent = tunnel.closed || tunnel.number < silent_before_;
        for (const int end : tunnel.ends) {
          ready.push_back({silent ? -1 : end, POLLIN, 0});
        }
      }
      constexpr int kPollMs = 5;
      if (poll(ready.data(), ready.size(), kPollMs) <= 0) {
        continue;
      }
      for (std::size_t i = 1; i < ready.size(); ++i) {
        if (ready[i].revents != 0) {
          Pass(tunnels_[(i - 1) / 2], (i - 1) % 2);
        }
      }
      if (ready[0].revents != 0) {
        Accept();
      }
    }
  }

  void Accept() {
    Tunnel tunnel;
    tunnel.number = accepted_++;
    tunnel.ends[0] = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    tunnel.ends[1] = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = target_.ToSockaddr();
    tunnel.closed =
        connect(tunnel.ends[1], reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) != 0;
    tunnels_.push_back(tunnel);
  }

  // Passes on the bytes, or the close, that have arrived at one end.
  static void Pass(Tunnel& tunnel, std::size_t from) {
    std::array<char, 16384> buffer;
    const ssize_t received =
        recv(tunnel.ends[from], buffer.data(), buffer.size(), 0);
    if (received <= 0) {
      tunnel.closed = true;
      shutdown(tunnel.ends[0], SHUT_RDWR);
      shutdown(tunnel.ends[1], SHUT_RDWR);
      return;
    }
    (void)send(tunnel.ends[1 - from], buffer.data(),
               static_cast<std::size_t>(received), MSG_NOSIGNAL);
  }

  const Endpoint target_;
  int listener_ = -1;
  Endpoint endpoint_;
  std::atomic<bool> stopping_ = false;
  std::atomic<int> accepted_ = 0;
  std::atomic<int> rounds_ = 0;  // Of waiting for bytes and passing them on.
  // Connections with a lower number are silent.
  std::atomic<int> silent_before_ = 0;
  std::vector<Tunnel> tunnels_;
  std::thread thread_;
};

}  // namespace gcw::test

#endif  // GCW_TESTS_SUPPORT_SILENT_PROXY_H_
