#include "src/control/send_queues.h"

#include <algorithm>
#include <utility>

namespace gcw::control {

void SendQueues::DropMessage(Queue& queue, std::size_t index) {
  const auto message =
      queue.messages.begin() + static_cast<std::ptrdiff_t>(index);
  queue.bytes -= message->payload.size();
  queue.messages.erase(message);
  ++dropped_;
}

bool SendQueues::Push(const Endpoint& peer, QueuedMessage message) {
  absl::MutexLock lock(&mutex_);
  Queue& queue = queues_[peer];
  const std::size_t size = message.payload.size();
  while (queue.bytes + size > max_bytes_) {
    const auto oldest =
        std::find_if(queue.messages.begin(), queue.messages.end(),
                     [](const QueuedMessage& i) {
                       return i.overflow == OverflowPolicy::kDropOldest;
                     });
    if (oldest == queue.messages.end()) {
      dropped_ += message.overflow == OverflowPolicy::kDropOldest ? 1 : 0;
      return false;
    }
    DropMessage(queue,
                static_cast<std::size_t>(oldest - queue.messages.begin()));
  }
  queue.bytes += size;
  queue.messages.push_back(std::move(message));
  peer_changes_.with_new_messages.push_back(peer);
  all_written_ = false;
  return true;
}

std::optional<SendQueues::QueuedMessage> SendQueues::Pop(const Endpoint& peer) {
  absl::MutexLock lock(&mutex_);
  const auto it = queues_.find(peer);
  if (it == queues_.end() || it->second.messages.empty()) {
    return std::nullopt;
  }
  Queue& queue = it->second;
  QueuedMessage message = std::move(queue.messages.front());
  queue.messages.pop_front();
  queue.bytes -= message.payload.size();
  return message;
}

void SendQueues::DropQueuedBefore(const Endpoint& peer, absl::Time limit) {
  absl::MutexLock lock(&mutex_);
  const auto it = queues_.find(peer);
  if (it == queues_.end()) {
    return;
  }
  Queue& queue = it->second;
  while (!queue.messages.empty() && queue.messages.front().queued_at < limit) {
    DropMessage(queue, 0);
  }
}

void SendQueues::RemovePeer(const Endpoint& peer) {
  absl::MutexLock lock(&mutex_);
  queues_.erase(peer);
  peer_changes_.removed.push_back(peer);
}

SendQueues::PeerChanges SendQueues::TakePeerChanges() {
  absl::MutexLock lock(&mutex_);
  return std::exchange(peer_changes_, {});
}

bool SendQueues::IsEmpty(const Endpoint& peer) const {
  absl::MutexLock lock(&mutex_);
  const auto it = queues_.find(peer);
  return it == queues_.end() || it->second.messages.empty();
}

std::uint64_t SendQueues::dropped() const {
  absl::MutexLock lock(&mutex_);
  return dropped_;
}

void SendQueues::SetAllWritten(bool written) {
  absl::MutexLock lock(&mutex_);
  const bool empty = std::all_of(
      queues_.begin(), queues_.end(),
      [](const auto& entry) { return entry.second.messages.empty(); });
  all_written_ = written && empty;
}

bool SendQueues::WaitUntilWritten(absl::Duration timeout) {
  absl::MutexLock lock(&mutex_);
  return mutex_.AwaitWithTimeout(absl::Condition(&all_written_), timeout);
}

}  // namespace gcw::control
