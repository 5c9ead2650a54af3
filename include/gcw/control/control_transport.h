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

// Tells the receiver which of its components decodes the payload.
enum class MessageType : std::uint8_t {
  kRelay = 1,        // Versioned state that gcw/relay distributes.
  kFlowRecords = 2,  // Messages between the routing policies of gcw/routing.
  // 3 is not used.
  kStatus = 4,    // A daemon's status report to the zone's status writers.
  kDispatch = 5,  // Messages between the dispatchers of gcw/dispatch.
};

// What happens to a message if its peer's queue is full. In either case, the
// oldest queued messages with kDropOldest are dropped first to make room. If
// there is still not enough room, Send() drops a new message with kDropOldest
// without an error, and fails for one with kReject.
enum class OverflowPolicy { kDropOldest, kReject };

// A message from a peer whose signature was verified.
struct ReceivedMessage {
  auth::SenderId sender = 0;
  MessageType type = MessageType::kRelay;
  std::vector<std::uint8_t> payload;
};

// How often the bound on accepted connections took effect since the transport
// was made.
struct AcceptStats {
  // Accepted ones without a verified message, closed in favour of new ones.
  std::uint64_t closed_for_room = 0;
  std::uint64_t refused = 0;  // New ones, since all others are of peers.
  std::uint64_t pauses = 0;   // Out of descriptors or memory for a new one.
};

struct Options {
  // The address to listen on. Port 0 lets the system choose. Outgoing
  // connections are made from the same IP address.
  Endpoint listen;
  // A connection attempt that takes longer than this fails. It is retried after
  // the backoff while messages are queued for the peer.
  absl::Duration connect_timeout = absl::Seconds(2);
  // The bounds of the delay before the next attempt. The delay doubles with
  // each consecutive failure and is then shortened by up to half at random.
  absl::Duration reconnect_backoff_min = absl::Milliseconds(200);
  absl::Duration reconnect_backoff_max = absl::Seconds(5);
  // An outgoing connection on which no byte was sent or received for this long
  // is closed; the next message opens a new one. Accepted connections are
  // closed after twice this time.
  absl::Duration idle_timeout = absl::Minutes(5);
  // If the peer accepts no bytes for this long although messages are waiting,
  // the connection is closed, and a new one is made after the backoff.
  absl::Duration stall_timeout = absl::Seconds(4);
  // A connection on which messages are sent is checked by a PING at most once
  // in this interval, and closed if the peer does not acknowledge it in time. A
  // connection can go silent for good although the kernel accepts more bytes.
  // An infinite interval: never.
  absl::Duration ping_interval = absl::Seconds(1);
  absl::Duration ping_timeout = absl::Seconds(2);
  std::size_t max_queue_bytes = 1 << 20;  // Payloads in the queue of one peer.
  std::size_t max_message_bytes = 2 << 20;  // The payload of one message.
  // Accepted at the same time, and at most three eighths of the descriptors
  // that the process may open. At the bound, the oldest connection without a
  // verified message is closed in favour of a new one.
  std::size_t max_connections = 2048;
  // Called when accepted connections were closed for new ones, new ones refused
  // or accepting paused since the process was out of descriptors or memory, at
  // most once in 10 s. May be null. Runs on the transport's thread; must not
  // block.
  std::function<void(const Endpoint& listen, const AcceptStats& stats)>
      on_bound_reached;
  // Called when an established outgoing connection ended or stalled, with the
  // time since a byte was last sent or received on it. May be null. Runs on the
  // transport's thread; must not block.
  std::function<void(const Endpoint& peer, absl::Duration idle)>
      on_connection_lost;
};

// Counters since the transport was made.
struct Stats {
  // Bytes of TCP payload, HTTP/2 framing included.
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t messages_sent = 0;
  std::uint64_t messages_received = 0;
  // Dropped because a queue was full or the peer was unreachable for too long.
  std::uint64_t dropped_messages = 0;
  // Received messages that failed verification or that auth::ReplayWindow did
  // not accept.
  std::uint64_t refused_messages = 0;
  // Outgoing connections that were established, and attempts that failed.
  std::uint64_t connects = 0;
  std::uint64_t connect_failures = 0;
  // Accepted connections that were closed because a message failed
  // verification, or because the incomplete first messages on all of them took
  // more than eight times Options::max_message_bytes.
  std::uint64_t closed_unverified = 0;
  AcceptStats accepts;
};

// Carries signed messages between daemons over HTTP/2 streams on TCP. Each
// direction between two daemons has a connection of its own with one long-lived
// stream; nghttp2 provides framing and flow control. One thread owns all
// sockets.
class ControlTransport {
 public:
  // Receives each message that was accepted. Runs on the transport's thread;
  // must not block.
  using Handler = std::function<void(ReceivedMessage)>;

  // Starts to listen and starts the thread. Fails with kBindFailed if the
  // address cannot be listened on, and with kInternal if the process is out of
  // file descriptors.
  static Result<std::unique_ptr<ControlTransport>> Make(
      const Options& options,
      std::shared_ptr<auth::Signer> signer,
      Handler handler);

  // Stops the thread and closes all sockets. Queued messages are lost; call
  // Flush() first to let the transport write them.
  ~ControlTransport();
  ControlTransport(const ControlTransport&) = delete;
  ControlTransport& operator=(const ControlTransport&) = delete;

  // Queues a message to the daemon with the control address `peer`, and
  // connects to it if there is no connection. Messages to the same peer keep
  // their order. Thread-safe, never blocks on the network. Fails with kTooLarge
  // if the payload exceeds max_message_bytes or max_queue_bytes, and for a
  // message with kReject if the queue is full. Messages are not acknowledged:
  // one may be lost when its connection closes, and is dropped if the peer
  // cannot be reached for 10 s after it was queued.
  Status Send(const Endpoint& peer,
              MessageType type,
              std::span<const std::uint8_t> payload,
              OverflowPolicy overflow);

  // Drops the queue of a peer that no longer exists and closes the connection
  // to it. Thread-safe.
  void RemovePeer(const Endpoint& peer);

  // Waits until all queued messages have been written to their connections, at
  // most `timeout`. Returns whether they have. Thread-safe.
  bool Flush(absl::Duration timeout);

  // The current counters. Thread-safe.
  Stats stats() const;

  // The address that the transport listens on, with the port that the system
  // chose if Options::listen has port 0. Thread-safe.
  Endpoint listen_address() const;

 private:
  class Impl;
  explicit ControlTransport(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace gcw::control

#endif  // GCW_CONTROL_CONTROL_TRANSPORT_H_
