#ifndef GCW_KERNEL_UDP_SOCKET_H_
#define GCW_KERNEL_UDP_SOCKET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>

#include "gcw/base/endpoint.h"

namespace gcw::kernel {

// A bound, non-blocking UDP socket that receives and sends datagrams in batches
// to save system calls. Not thread-safe; to be used on one thread.
class UdpSocket {
 public:
  // The size in bytes of the largest datagram that can be received or sent. A
  // longer received datagram is truncated.
  static constexpr std::size_t kMaxDatagram = 2048;
  // The maximum number of datagrams per system call.
  static constexpr std::size_t kBatch = 64;
  // The maximum number of batches per call of ReceiveBatches.
  static constexpr std::size_t kMaxBatchesPerCall = 8;

  using Receiver = std::function<void(const Endpoint& from,
                                      std::span<const std::uint8_t> datagram)>;

  // Opens a socket and binds it to `bind`. Fails with kBindFailed if the
  // process is out of file descriptors or if `bind` cannot be bound; the
  // message of the latter error contains the address.
  static Result<std::unique_ptr<UdpSocket>> Make(const Endpoint& bind);

  ~UdpSocket();
  UdpSocket(const UdpSocket&) = delete;
  UdpSocket& operator=(const UdpSocket&) = delete;

  // The file descriptor, for an EventLoop.
  int fd() const;

  // Receives one batch and calls `receiver` for each datagram; the span passed
  // to `receiver` is valid only during that call. Returns the number of
  // datagrams.
  std::size_t Receive(const Receiver& receiver);

  // Receives batches until the socket is empty, but at most kMaxBatchesPerCall,
  // so that the other handlers of the thread get their turn. Calls
  // `before_batch` before each batch.
  void ReceiveBatches(const Receiver& receiver,
                      const std::function<void()>& before_batch = {});

  // Queues the bytes of `first` followed by those of `second` as one datagram
  // to `to`. The bytes are copied. A datagram of more than kMaxDatagram bytes
  // is dropped and counted. Flushes the queue when it holds a full batch.
  void Queue(const Endpoint& to,
             std::span<const std::uint8_t> first,
             std::span<const std::uint8_t> second = {});

  // Sends the queued datagrams. Datagrams that the operating system does not
  // accept, for example because the send buffer is full, are dropped and
  // counted.
  void Flush();

  // Totals since the socket was made. Bytes are those of UDP payloads.
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
