#ifndef GCW_SRC_CONTROL_SEND_QUEUES_H_
#define GCW_SRC_CONTROL_SEND_QUEUES_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "gcw/control/control_transport.h"

namespace gcw::control {

// The bounded queues of messages that wait to be sent, one for each peer.
// Passes messages from the threads that call ControlTransport to its
// TransportLoop. Thread-safe.
class SendQueues {
 public:
  struct QueuedMessage {
    MessageType type = MessageType::kRelay;
    OverflowPolicy overflow = OverflowPolicy::kReject;
    absl::Time queued_at;
    std::vector<std::uint8_t> payload;
  };

  explicit SendQueues(std::size_t max_bytes_per_peer)
      : max_bytes_(max_bytes_per_peer) {}

  // Appends a message; if the queue is full, first drops the oldest messages
  // with kDropOldest. Returns false if there is still no room; if the new
  // message has kDropOldest, it counts as dropped.
  bool Push(const Endpoint& peer, QueuedMessage message);

  // Removes and returns the peer's oldest message, if any.
  std::optional<QueuedMessage> Pop(const Endpoint& peer);

  // Drops the peer's messages that were queued before `limit`.
  void DropQueuedBefore(const Endpoint& peer, absl::Time limit);

  // Drops the peer's messages and reports the peer as removed in the next
  // TakePeerChanges().
  void RemovePeer(const Endpoint& peer);

  // The peers that Push() and RemovePeer() were called for; may hold a peer
  // more than once.
  struct PeerChanges {
    std::vector<Endpoint> with_new_messages;
    std::vector<Endpoint> removed;
  };
  // The changes since the last call of this method.
  PeerChanges TakePeerChanges();

  // Whether no message is queued for the peer.
  bool IsEmpty(const Endpoint& peer) const;
  // The number of messages dropped so far, without those of removed peers.
  std::uint64_t dropped() const;

  // Called by the transport loop to report whether it has written all popped
  // messages to their sockets.
  void SetAllWritten(bool written);
  // Waits until all queues are empty and all messages are written, at most
  // `timeout`. Returns whether they are.
  bool WaitUntilWritten(absl::Duration timeout);

 private:
  struct Queue {
    std::deque<QueuedMessage> messages;
    std::size_t bytes = 0;
  };

  void DropMessage(Queue& queue, std::size_t index)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  const std::size_t max_bytes_;
  mutable absl::Mutex mutex_;
  absl::flat_hash_map<Endpoint, Queue> queues_ ABSL_GUARDED_BY(mutex_);
  PeerChanges peer_changes_ ABSL_GUARDED_BY(mutex_);
  std::uint64_t dropped_ ABSL_GUARDED_BY(mutex_) = 0;
  bool all_written_ ABSL_GUARDED_BY(mutex_) = true;
};

}  // namespace gcw::control

#endif  // GCW_SRC_CONTROL_SEND_QUEUES_H_
