#ifndef GCW_CONTROL_CONTROL_TRANSPORT_H_
#define GCW_CONTROL_CONTROL_TRANSPORT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "gcw/auth/signer.h"
#include "gcw/base/endpoint.h"
#include "gcw/base/result.h"

namespace gcw::control {

// What a message is for; the payload belongs to the library that it names.
enum class MessageType : std::uint8_t {
  kRelay = 1,        // gcw/relay: versioned configuration.
  kFlowRecords = 2,  // Recorded exceptions and hand-over.
  kHints = 3,
  kStatus = 4,
  kDispatch = 5,
};

// Whether a message may be dropped when a peer's queue is full, the oldest
// first. Others are refused with an error instead.
enum class OverflowPolicy { kDropOldest, kReject };

// A verified message from a peer.
struct ReceivedMessage {
  auth::SenderId sender = 0;
  MessageType type = MessageType::kRelay;
  std::vector<std::uint8_t> payload;
};

struct Options {
  Endpoint listen;  // Bind address and control port.
  absl::Duration connect_timeout = absl::Seconds(2);
  absl::Duration reconnect_backoff_min = absl::Milliseconds(200);
  absl::Duration reconnect_backoff_max = absl::Seconds(5);
  // A connection that sent or received nothing for this long is closed.
  absl::Duration idle_timeout = absl::Minutes(5);
  // A connection whose peer takes nothing for this long is closed.
  absl::Duration stall_timeout = absl::Seconds(4);
  std::size_t max_queue_bytes = 1 << 20;    // For each peer.
  std::size_t max_message_bytes = 2 << 20;  // One message.
  std::size_t max_connections = 2048;       // Accepted ones.
};

// Counters since the start.
struct Stats {
  std::uint64_t bytes_sent = 0;  // TCP payload, framing included.
  std::uint64_t bytes_received = 0;
  std::uint64_t messages_sent = 0;
  std::uint64_t messages_received = 0;
  std::uint64_t dropped_messages = 0;  // Droppable messages that found no room.
  std::uint64_t refused_messages = 0;  // Messages that failed verification.
  std::uint64_t connects = 0;
  std::uint64_t connect_failures = 0;
  std::uint64_t closed_unverified = 0;  // Connections closed for bad messages.
};

// Signed messages between daemons over HTTP/2 streams on TCP. Each direction of
// a pair of daemons has one connection with one long-lived stream; nghttp2
// gives framing and flow control. One thread owns all sockets.
class ControlTransport {
 public:
  // Runs on the transport's thread; must not block.
  using Handler = std::function<void(ReceivedMessage)>;

  // Listens and starts the thread. Fails with kBindFailed.
  static Result<std::unique_ptr<ControlTransport>> Make(
      const Options& options,
      std::shared_ptr<auth::Signer> signer,
      Handler handler);

  // Stops the thread and closes all sockets; queued messages are lost. Call
  // Flush before it to give them a chance.
  ~ControlTransport();
  ControlTransport(const ControlTransport&) = delete;
  ControlTransport& operator=(const ControlTransport&) = delete;

  // Queues a message to the daemon whose control port is `peer`, and connects
  // if there is no connection. Order is kept for each peer. Thread-safe, never
  // blocks on the network. Fails with kTooLarge for a large message and for a
  // message with kReject that finds the queue full. There is no
  // acknowledgement: a message may be lost with its connection.
  Status Send(const Endpoint& peer,
              MessageType type,
              std::span<const std::uint8_t> payload,
              OverflowPolicy overflow);

  // Drops the queue of a peer that is gone and closes its connection.
  // Thread-safe.
  void RemovePeer(const Endpoint& peer);

  // Waits until all queues were written out, at most `timeout`. Whether they
  // were. Thread-safe.
  bool Flush(absl::Duration timeout);

  // Thread-safe.
  Stats stats() const;

  // The address that is listened on; has the port that the system chose if 0
  // was asked for. Thread-safe.
  Endpoint listen_address() const;

 private:
  class Impl;
  explicit ControlTransport(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace gcw::control

#endif  // GCW_CONTROL_CONTROL_TRANSPORT_H_
