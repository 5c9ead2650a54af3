#include "src/lab/udp_port.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

namespace gcw::lab {
namespace {

constexpr std::size_t kBatchSize = 64;
constexpr std::size_t kMaxDatagramBytes = 2048;
constexpr int kSocketBufferBytes = 4 << 20;
// Batches read for one event, so that a busy socket does not starve the other
// sockets of the event loop.
constexpr int kMaxBatchesPerEvent = 8;

struct Datagram {
  Bytes payload;
  sockaddr_in to;
};

}  // namespace

class UdpPort::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(EventLoop& loop, int fd, Handler handler)
      : loop_(loop), fd_(fd), handler_(std::move(handler)) {
    for (std::size_t i = 0; i < kBatchSize; ++i) {
      vectors_[i] = {buffers_[i].data(), kMaxDatagramBytes};
      headers_[i].msg_hdr = {};
      headers_[i].msg_hdr.msg_iov = &vectors_[i];
      headers_[i].msg_hdr.msg_iovlen = 1;
    }
  }

  ~Impl() {
    loop_.Unwatch(fd_);
    close(fd_);
  }

  void Read() {
    for (int round = 0; round < kMaxBatchesPerEvent; ++round) {
      for (std::size_t i = 0; i < kBatchSize; ++i) {
        headers_[i].msg_hdr.msg_name = &sources_[i];
        headers_[i].msg_hdr.msg_namelen = sizeof(sockaddr_in);
      }
      const int count =
          recvmmsg(fd_, headers_.data(), kBatchSize, MSG_DONTWAIT, nullptr);
      for (int i = 0; i < count; ++i) {
        const auto index = static_cast<std::size_t>(i);
        handler_({buffers_[index].data(), headers_[index].msg_len},
                 Endpoint::FromSockaddr(sources_[index]));
      }
      if (count < static_cast<int>(kBatchSize)) {
        return;
      }
    }
  }

  void Queue(Bytes payload, const Endpoint& to) {
    if (queue_.empty()) {
      DeferFlush();
    }
    queue_.push_back({std::move(payload), to.ToSockaddr()});
  }

  void Flush() {
    std::size_t begin = 0;
    while (begin < queue_.size()) {
      const int sent = SendBatch(begin);
      if (sent < 0 && errno == EAGAIN) {
        break;  // The send buffer is full: the rest is sent in the next round.
      }
      // After any other error the first datagram is dropped.
      begin += static_cast<std::size_t>(std::max(sent, 1));
    }
    queue_.erase(queue_.begin(),
                 queue_.begin() + static_cast<std::ptrdiff_t>(begin));
    if (!queue_.empty()) {
      DeferFlush();
    }
  }

 private:
  void DeferFlush() {
    loop_.Defer([self = weak_from_this()] {
      if (const auto impl = self.lock()) {
        impl->Flush();
      }
    });
  }

  int SendBatch(std::size_t begin) {
    const std::size_t count = std::min(kBatchSize, queue_.size() - begin);
    std::array<mmsghdr, kBatchSize> headers{};
    std::array<iovec, kBatchSize> vectors{};
    for (std::size_t i = 0; i < count; ++i) {
      Datagram& datagram = queue_[begin + i];
      vectors[i] = {datagram.payload.data(), datagram.payload.size()};
      headers[i].msg_hdr.msg_name = &datagram.to;
      headers[i].msg_hdr.msg_namelen = sizeof(sockaddr_in);
      headers[i].msg_hdr.msg_iov = &vectors[i];
      headers[i].msg_hdr.msg_iovlen = 1;
    }
    return sendmmsg(fd_, headers.data(), static_cast<unsigned>(count),
                    MSG_DONTWAIT);
  }

  EventLoop& loop_;
  int fd_;
  Handler handler_;
  std::vector<Datagram> queue_;
  std::array<std::array<std::uint8_t, kMaxDatagramBytes>, kBatchSize> buffers_;
  std::array<sockaddr_in, kBatchSize> sources_{};
  std::array<iovec, kBatchSize> vectors_{};
  std::array<mmsghdr, kBatchSize> headers_{};
};

UdpPort::UdpPort(std::shared_ptr<Impl> impl) : impl_(std::move(impl)) {}
UdpPort::~UdpPort() = default;

Result<std::unique_ptr<UdpPort>> UdpPort::Make(EventLoop& loop,
                                               const Endpoint& bind_to,
                                               Handler handler) {
  const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in address = bind_to.ToSockaddr();
  if (fd < 0 || bind(fd, reinterpret_cast<const sockaddr*>(&address),
                     sizeof(address)) != 0) {
    close(fd);
    return Error{ResultCode::kBindFailed, "",
                 "cannot bind UDP " + ToString(bind_to)};
  }
  for (const int option : {SO_RCVBUF, SO_SNDBUF}) {
    setsockopt(fd, SOL_SOCKET, option, &kSocketBufferBytes, sizeof(int));
  }
  auto impl = std::make_shared<Impl>(loop, fd, std::move(handler));
  loop.Watch(fd, EPOLLIN, [weak = std::weak_ptr<Impl>(impl)](std::uint32_t) {
    if (const auto port = weak.lock()) {
      port->Read();
    }
  });
  return std::unique_ptr<UdpPort>(new UdpPort(std::move(impl)));
}

void UdpPort::Send(Bytes payload, const Endpoint& to) {
  impl_->Queue(std::move(payload), to);
}

}  // namespace gcw::lab
