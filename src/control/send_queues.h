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

// The mailbox of the transport's task: messages that wait for each peer, in
// order and bounded. Thread-safe.
class SendQueues {
 public:
  struct Item {
    MessageType type = MessageType::kRelay;
    OverflowPolicy overflow = OverflowPolicy::kReject;
    absl::Time queued;
    std::vector<std::uint8_t> payload;
  };

  explicit SendQueues(std::size_t max_bytes_per_peer)
      : max_bytes_(max_bytes_per_peer) {}

  // Makes room by dropping the oldest droppable messages. False if there is no
  // room; a droppable message is then counted as dropped.
  bool Push(const Endpoint& peer, Item item);

  // The peer's next message, if any.
  std::optional<Item> Pop(const Endpoint& peer);

  // Drops the peer's messages that were queued before `limit`.
  void DropBefore(const Endpoint& peer, absl::Time limit);

  // Asks the task to close the peer's connection and drops its messages.
  void RemovePeer(const Endpoint& peer);

  // What the task has to look at since the last call.
  struct Work {
    std::vector<Endpoint> touched;
    std::vector<Endpoint> forgotten;
  };
  Work TakeWork();

  bool Empty(const Endpoint& peer) const;
  std::uint64_t dropped() const;

  // The task says whether everything it popped was written out.
  void SetWritten(bool written);
  // Waits until all queues are empty and written out.
  bool AwaitWritten(absl::Duration timeout);

 private:
  struct Queue {
    std::deque<Item> items;
    std::size_t bytes = 0;
  };

  void Drop(Queue& queue, std::size_t index)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  const std::size_t max_bytes_;
  mutable absl::Mutex mutex_;
  absl::flat_hash_map<Endpoint, Queue> queues_ ABSL_GUARDED_BY(mutex_);
  Work work_ ABSL_GUARDED_BY(mutex_);
  std::uint64_t dropped_ ABSL_GUARDED_BY(mutex_) = 0;
  bool written_ ABSL_GUARDED_BY(mutex_) = true;
};

}  // namespace gcw::control

#endif  // GCW_SRC_CONTROL_SEND_QUEUES_H_
