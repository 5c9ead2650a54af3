#ifndef GCW_KERNEL_MAILBOX_H_
#define GCW_KERNEL_MAILBOX_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <utility>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "gcw/kernel/event_loop.h"
#include "gcw/kernel/wake_fd.h"

namespace gcw::kernel {

// The sending end of a message queue. T is the type of the messages, usually a
// std::variant.
template <typename T>
class Sink {
 public:
  virtual ~Sink() = default;

  // Queues `message` for the receiver. Returns false and drops the message if
  // the receiver's queue is full. Thread-safe; does not block.
  virtual bool Send(T message) = 0;
};

// A bounded queue of messages for one task. Send is thread-safe; the other
// methods may only be called on the receiving task's thread.
template <typename T>
class Mailbox : public Sink<T> {
 public:
  // Makes a queue for up to `capacity` messages. Fails with kInternal if the
  // process is out of file descriptors. Precondition: capacity > 0.
  static Result<std::shared_ptr<Mailbox>> Make(std::size_t capacity) {
    Result<WakeFd> wake = WakeFd::Make();
    if (!wake.ok()) {
      return wake.error();
    }
    return std::shared_ptr<Mailbox>(
        new Mailbox(std::move(wake).value(), capacity));
  }

  bool Send(T message) override {
    bool was_empty = false;
    {
      absl::MutexLock lock(&mutex_);
      if (queue_.size() >= capacity_) {
        return false;
      }
      was_empty = queue_.empty();
      queue_.push_back(std::move(message));
    }
    if (was_empty) {
      wake_.Wake();
    }
    return true;
  }

  // Calls `handler` for each message on the thread of `loop`. Fails with
  // kInternal if `loop` cannot watch the mailbox. Precondition: `loop` exists
  // for as long as the mailbox is used. Not thread-safe.
  Status Attach(EventLoop& loop, std::function<void(T&)> handler) {
    handler_ = std::move(handler);
    return loop.WatchReadable(wake_.fd(), [this] { DeliverMessages(); });
  }

  // Undoes Attach(). Not thread-safe.
  void Detach(EventLoop& loop) { loop.Unwatch(wake_.fd()); }

 private:
  Mailbox(WakeFd wake, std::size_t capacity)
      : wake_(std::move(wake)), capacity_(capacity) {}

  void DeliverMessages() {
    // Drained before the queue is emptied, so that a message that arrives in
    // between makes the descriptor readable again.
    wake_.Drain();
    std::deque<T> batch;
    {
      absl::MutexLock lock(&mutex_);
      batch.swap(queue_);
    }
    for (T& message : batch) {
      handler_(message);
    }
  }

  WakeFd wake_;
  const std::size_t capacity_;
  absl::Mutex mutex_;
  std::deque<T> queue_ ABSL_GUARDED_BY(mutex_);
  std::function<void(T&)> handler_;
};

}  // namespace gcw::kernel

#endif  // GCW_KERNEL_MAILBOX_H_
