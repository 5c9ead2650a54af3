#include "gcw/kernel/udp_socket.h"

#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

namespace gcw::kernel {
namespace {

constexpr int kSocketBufferBytes = 4 * 1024 * 1024;

using Buffer = std::array<std::uint8_t, UdpSocket::kMaxDatagram>;

// The headers and buffers of one batch, wired to each other once.
struct Batch {
  Batch() {
    for (std::size_t i = 0; i < UdpSocket::kBatch; ++i) {
      vectors[i] = {buffers[i].data(), buffers[i].size()};
      headers[i].msg_hdr.msg_iov = &vectors[i];
      headers[i].msg_hdr.msg_iovlen = 1;
      headers[i].msg_hdr.msg_name = &addresses[i];
      headers[i].msg_hdr.msg_namelen = sizeof(sockaddr_in);
    }
  }

  std::array<Buffer, UdpSocket::kBatch> buffers;
  std::array<iovec, UdpSocket::kBatch> vectors{};
  std::array<sockaddr_in, UdpSocket::kBatch> addresses{};
  std::array<mmsghdr, UdpSocket::kBatch> headers{};
};

}  // namespace

class UdpSocket::Impl {
 public:
  explicit Impl(int fd) : fd_(fd) {}
  ~Impl() { close(fd_); }

  int fd() const { return fd_; }

  std::size_t Receive(const Receiver& receiver) {
    for (mmsghdr& header : in_.headers) {
      header.msg_hdr.msg_namelen = sizeof(sockaddr_in);
    }
    const int count =
        recvmmsg(fd_, in_.headers.data(), kBatch, MSG_DONTWAIT, nullptr);
    if (count <= 0) {
      return 0;
    }
    const auto received = static_cast<std::size_t>(count);
    for (std::size_t i = 0; i < received; ++i) {
      const std::span<const std::uint8_t> datagram(in_.buffers[i].data(),
                                                   in_.headers[i].msg_len);
      receiver(Endpoint::FromSockaddr(in_.addresses[i]), datagram);
    }
    return received;
  }

  void Queue(const Endpoint& to,
             std::span<const std::uint8_t> first,
             std::span<const std::uint8_t> second) {
    if (first.size() + second.size() > kMaxDatagram) {
      ++dropped_;
      return;
    }
    std::uint8_t* buffer = out_.buffers[queued_].data();
    std::copy(first.begin(), first.end(), buffer);
    std::copy(second.begin(), second.end(), buffer + first.size());
    out_.vectors[queued_].iov_len = first.size() + second.size();
    out_.addresses[queued_] = to.ToSockaddr();
    ++queued_;
    if (queued_ == kBatch) {
      Flush();
    }
  }

  void Flush() {
    std::size_t done = 0;
    while (done < queued_) {
      const int count =
          sendmmsg(fd_, &out_.headers[done],
                   static_cast<unsigned>(queued_ - done), MSG_DONTWAIT);
      if (count <= 0) {
        if (errno == EINTR) {
          continue;
        }
        // The first one failed (no room, or nobody listens); the rest may do.
        ++dropped_;
        ++done;
        continue;
      }
      CountSent(done, static_cast<std::size_t>(count));
      done += static_cast<std::size_t>(count);
    }
    queued_ = 0;
  }

  std::uint64_t bytes_sent() const { return bytes_sent_; }
  std::uint64_t datagrams_sent() const { return sent_; }
  std::uint64_t datagrams_dropped() const { return dropped_; }

 private:
  void CountSent(std::size_t first, std::size_t count) {
    sent_ += count;
    for (std::size_t i = first; i < first + count; ++i) {
      bytes_sent_ += out_.vectors[i].iov_len;
    }
  }

  const int fd_;
  Batch in_;
  Batch out_;
  std::size_t queued_ = 0;
  std::uint64_t bytes_sent_ = 0;
  std::uint64_t sent_ = 0;
  std::uint64_t dropped_ = 0;
};

Result<std::unique_ptr<UdpSocket>> UdpSocket::Make(const Endpoint& bind_to) {
  const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) {
    return Error{ResultCode::kBindFailed, "", "out of file descriptors"};
  }
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &kSocketBufferBytes,
             sizeof(kSocketBufferBytes));
  setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &kSocketBufferBytes,
             sizeof(kSocketBufferBytes));
  const sockaddr_in address = bind_to.ToSockaddr();
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) !=
      0) {
    const int error = errno;
    close(fd);
    return Error{ResultCode::kBindFailed, "",
                 fmt::format("cannot bind UDP {}: {}", ToString(bind_to),
                             std::strerror(error))};
  }
  return std::unique_ptr<UdpSocket>(new UdpSocket(std::make_unique<Impl>(fd)));
}

UdpSocket::UdpSocket(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
UdpSocket::~UdpSocket() = default;

int UdpSocket::fd() const {
  return impl_->fd();
}
std::size_t UdpSocket::Receive(const Receiver& receiver) {
  return impl_->Receive(receiver);
}
void UdpSocket::ReceiveBatches(const Receiver& receiver,
                               const std::function<void()>& before_batch) {
  for (std::size_t i = 0; i < kMaxBatches; ++i) {
    if (before_batch) {
      before_batch();
    }
    if (Receive(receiver) < kBatch) {
      return;
    }
  }
}

void UdpSocket::Queue(const Endpoint& to,
                      std::span<const std::uint8_t> first,
                      std::span<const std::uint8_t> second) {
  impl_->Queue(to, first, second);
}
void UdpSocket::Flush() {
  impl_->Flush();
}
std::uint64_t UdpSocket::bytes_sent() const {
  return impl_->bytes_sent();
}
std::uint64_t UdpSocket::datagrams_sent() const {
  return impl_->datagrams_sent();
}
std::uint64_t UdpSocket::datagrams_dropped() const {
  return impl_->datagrams_dropped();
}

}  // namespace gcw::kernel
