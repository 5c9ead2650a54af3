#ifndef GCW_KERNEL_UDP_SOCKET_H_
#define GCW_KERNEL_UDP_SOCKET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>

#include "gcw/base/endpoint.h"

namespace gcw::kernel {

// A bound, non-blocking UDP socket that moves datagrams in batches. Belongs to
// one thread.
class UdpSocket {
 public:
  // Largest datagram that is received whole, in bytes; longer ones are cut.
  static constexpr std::size_t kMaxDatagram = 2048;
  // Datagrams per system call.
  static constexpr std::size_t kBatch = 64;
  static constexpr std::size_t kMaxBatches = 8;

  using Receiver = std::function<void(const Endpoint& from,
                                      std::span<const std::uint8_t> datagram)>;

  // Fails with kBindFailed; the message names the address.
  static Result<std::unique_ptr<UdpSocket>> Make(const Endpoint& bind);

  ~UdpSocket();
  UdpSocket(const UdpSocket&) = delete;
  UdpSocket& operator=(const UdpSocket&) = delete;

  int fd() const;

  // Receives one batch and calls `receiver` for each datagram; the view is
  // valid during the call. Returns how many there were.
  std::size_t Receive(const Receiver& receiver);

  // Receives until the socket is empty, but kMaxBatches at most, so that other
  // work of the thread goes on. Calls `before_batch` ahead of each batch.
  void ReceiveBatches(const Receiver& receiver,
                      const std::function<void()>& before_batch = {});

  // Queues `parts`, one after the other, as one datagram to `to`. The bytes
  // are copied. A datagram over kMaxDatagram is dropped and counted. Sends the
  // queue when it holds a batch.
  void Queue(const Endpoint& to,
             std::span<const std::uint8_t> first,
             std::span<const std::uint8_t> second = {});

  // Sends what is queued. Datagrams that the kernel has no room for are
  // dropped and counted, as a network would.
  void Flush();

  std::uint64_t bytes_sent() const;
  std::uint64_t datagrams_sent() const;
  std::uint64_t datagrams_dropped() const;

 private:
  class Impl;
  explicit UdpSocket(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace gcw::kernel

#endif  // GCW_KERNEL_UDP_SOCKET_H_
