#include "gcw/kernel/udp_socket.h"

#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include "gcw/base/system_error.h"

namespace gcw::kernel {
namespace {

// The size requested for the send buffer and for the receive buffer.
constexpr int kSocketBufferBytes = 4 * 1024 * 1024;

using Buffer = std::array<std::uint8_t, UdpSocket::kMaxDatagram>;

// The headers and buffers for one call of recvmmsg or sendmmsg. The constructor
// points each header to its buffer and address.
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
    for (mmsghdr& header : receive_batch_.headers) {
      header.msg_hdr.msg_namelen = sizeof(sockaddr_in);
    }
    const int count = recvmmsg(fd_, receive_batch_.headers.data(), kBatch,
                               MSG_DONTWAIT, nullptr);
    if (count <= 0) {
      return 0;
    }
    const auto received = static_cast<std::size_t>(count);
    for (std::size_t i = 0; i < received; ++i) {
      const std::span<const std::uint8_t> datagram(
          receive_batch_.buffers[i].data(), receive_batch_.headers[i].msg_len);
      receiver(Endpoint::FromSockaddr(receive_batch_.addresses[i]), datagram);
    }
    return received;
  }

  void Queue(const Endpoint& to,
             std::span<const std::uint8_t> first,
             std::span<const std::uint8_t> second) {
    if (first.size() + second.size() > kMaxDatagram) {
      ++datagrams_dropped_;
      return;
    }
    std::uint8_t* buffer = send_batch_.buffers[queued_count_].data();
    std::copy(first.begin(), first.end(), buffer);
    std::copy(second.begin(), second.end(), buffer + first.size());
    send_batch_.vectors[queued_count_].iov_len = first.size() + second.size();
    send_batch_.addresses[queued_count_] = to.ToSockaddr();
    ++queued_count_;
    if (queued_count_ == kBatch) {
      Flush();
    }
  }

  void Flush() {
    std::size_t processed = 0;
    while (processed < queued_count_) {
      const int count = sendmmsg(
          fd_, &send_batch_.headers[processed],
          static_cast<unsigned>(queued_count_ - processed), MSG_DONTWAIT);
      if (count <= 0) {
        if (errno == EINTR) {
          continue;
        }
        // The first datagram could not be sent, for example because the send
        // buffer is full or nobody listens at its destination. The next ones
        // may still succeed.
        ++datagrams_dropped_;
        ++processed;
        continue;
      }
      CountSent(processed, static_cast<std::size_t>(count));
      processed += static_cast<std::size_t>(count);
    }
    queued_count_ = 0;
  }

  std::uint64_t bytes_sent() const { return bytes_sent_; }
  std::uint64_t datagrams_sent() const { return datagrams_sent_; }
  std::uint64_t datagrams_dropped() const { return datagrams_dropped_; }

 private:
  void CountSent(std::size_t first, std::size_t count) {
    datagrams_sent_ += count;
    for (std::size_t i = first; i < first + count; ++i) {
      bytes_sent_ += send_batch_.vectors[i].iov_len;
    }
  }

  const int fd_;
  Batch receive_batch_;
  Batch send_batch_;
  std::size_t queued_count_ = 0;
  std::uint64_t bytes_sent_ = 0;
  std::uint64_t datagrams_sent_ = 0;
  std::uint64_t datagrams_dropped_ = 0;
};

Result<std::unique_ptr<UdpSocket>> UdpSocket::Make(const Endpoint& bind_to) {
  const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) {
    return SystemError(ResultCode::kBindFailed, "cannot open a UDP socket",
                       errno);
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
    return SystemError(ResultCode::kBindFailed,
                       fmt::format("cannot bind UDP {}", ToString(bind_to)),
                       error);
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
  for (std::size_t i = 0; i < kMaxBatchesPerCall; ++i) {
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
