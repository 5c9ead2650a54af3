#include "src/control/send_queues.h"

#include <algorithm>
#include <utility>

namespace gcw::control {

void SendQueues::Drop(Queue& queue, std::size_t index) {
  const auto item = queue.items.begin() + static_cast<std::ptrdiff_t>(index);
  queue.bytes -= item->payload.size();
  queue.items.erase(item);
  ++dropped_;
}

bool SendQueues::Push(const Endpoint& peer, Item item) {
  absl::MutexLock lock(&mutex_);
  Queue& queue = queues_[peer];
  const std::size_t size = item.payload.size();
  while (queue.bytes + size > max_bytes_) {
    const auto oldest =
        std::find_if(queue.items.begin(), queue.items.end(), [](const Item& i) {
          return i.overflow == OverflowPolicy::kDropOldest;
        });
    if (oldest == queue.items.end()) {
      dropped_ += item.overflow == OverflowPolicy::kDropOldest ? 1 : 0;
      return false;
    }
    Drop(queue, static_cast<std::size_t>(oldest - queue.items.begin()));
  }
  queue.bytes += size;
  queue.items.push_back(std::move(item));
  work_.touched.push_back(peer);
  written_ = false;
  return true;
}

std::optional<SendQueues::Item> SendQueues::Pop(const Endpoint& peer) {
  absl::MutexLock lock(&mutex_);
  const auto it = queues_.find(peer);
  if (it == queues_.end() || it->second.items.empty()) {
    return std::nullopt;
  }
  Queue& queue = it->second;
  Item item = std::move(queue.items.front());
  queue.items.pop_front();
  queue.bytes -= item.payload.size();
  return item;
}

void SendQueues::DropBefore(const Endpoint& peer, absl::Time limit) {
  absl::MutexLock lock(&mutex_);
  const auto it = queues_.find(peer);
  if (it == queues_.end()) {
    return;
  }
  Queue& queue = it->second;
  while (!queue.items.empty() && queue.items.front().queued < limit) {
    Drop(queue, 0);
  }
}

void SendQueues::RemovePeer(const Endpoint& peer) {
  absl::MutexLock lock(&mutex_);
  queues_.erase(peer);
  work_.forgotten.push_back(peer);
}

SendQueues::Work SendQueues::TakeWork() {
  absl::MutexLock lock(&mutex_);
  return std::exchange(work_, {});
}

bool SendQueues::Empty(const Endpoint& peer) const {
  absl::MutexLock lock(&mutex_);
  const auto it = queues_.find(peer);
  return it == queues_.end() || it->second.items.empty();
}

std::uint64_t SendQueues::dropped() const {
  absl::MutexLock lock(&mutex_);
  return dropped_;
}

void SendQueues::SetWritten(bool written) {
  absl::MutexLock lock(&mutex_);
  const bool empty =
      std::all_of(queues_.begin(), queues_.end(),
                  [](const auto& entry) { return entry.second.items.empty(); });
  written_ = written && empty;
}

bool SendQueues::AwaitWritten(absl::Duration timeout) {
  absl::MutexLock lock(&mutex_);
  return mutex_.AwaitWithTimeout(absl::Condition(&written_), timeout);
}

}  // namespace gcw::control
