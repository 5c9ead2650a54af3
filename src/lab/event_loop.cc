#include "src/lab/event_loop.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <queue>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/clock.h"

namespace gcw::lab {
namespace {

constexpr int kMaxEventsPerRound = 64;
// The longest wait for events in one round, after which now() is updated.
constexpr absl::Duration kMaxWait = absl::Milliseconds(100);

struct Timer {
  absl::Time when;
  std::uint64_t order;  // Keeps timers of equal time in order of addition.
  std::function<void()> action;
};

// Orders the priority queue so that the earliest timer is on top.
struct FiresLater {
  bool operator()(const Timer& a, const Timer& b) const {
    return a.when != b.when ? a.when > b.when : a.order > b.order;
  }
};

}  // namespace

class EventLoop::Impl {
 public:
  explicit Impl(int epoll_fd) : epoll_fd_(epoll_fd) {}
  ~Impl() { close(epoll_fd_); }

  void RunRound(absl::Time deadline) {
    const int count = Wait(deadline);
    now_ = absl::Now();
    for (int i = 0; i < count; ++i) {
      const epoll_event& event = events_[static_cast<std::size_t>(i)];
      const auto found = handlers_.find(event.data.fd);
      if (found != handlers_.end()) {
        // Keeps the handler alive while it runs, since the handler may unwatch
        // its own descriptor.
        const std::shared_ptr<FdHandler> handler = found->second;
        (*handler)(event.events);
      }
    }
    RunTimers();
    RunDeferred();
  }

  int Wait(absl::Time deadline) {
    if (!deferred_.empty()) {
      return epoll_wait(epoll_fd_, events_.data(), kMaxEventsPerRound, 0);
    }
    absl::Time until = std::min(deadline, absl::Now() + kMaxWait);
    if (!timers_.empty()) {
      until = std::min(until, timers_.top().when);
    }
    const absl::Duration wait =
        std::max(until - absl::Now(), absl::ZeroDuration());
    const auto wait_ms = static_cast<int>(
        absl::ToInt64Milliseconds(absl::Ceil(wait, absl::Milliseconds(1))));
    return epoll_wait(epoll_fd_, events_.data(), kMaxEventsPerRound, wait_ms);
  }

  void RunTimers() {
    while (!timers_.empty() && timers_.top().when <= now_) {
      // top() returns a const reference; moving from it is safe because the
      // timer is popped next and its order does not depend on `action`.
      auto action = std::move(const_cast<Timer&>(timers_.top()).action);
      timers_.pop();
      action();
    }
  }

  void RunDeferred() {
    std::vector<std::function<void()>> actions;
    actions.swap(deferred_);
    for (const auto& action : actions) {
      action();
    }
  }

  int epoll_fd_;
  absl::Time now_ = absl::Now();
  bool stopped_ = false;
  std::uint64_t next_order_ = 0;
  std::array<epoll_event, kMaxEventsPerRound> events_{};
  absl::flat_hash_map<int, std::shared_ptr<FdHandler>> handlers_;
  std::priority_queue<Timer, std::vector<Timer>, FiresLater> timers_;
  std::vector<std::function<void()>> deferred_;
};

EventLoop::EventLoop(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
EventLoop::~EventLoop() = default;

Result<std::unique_ptr<EventLoop>> EventLoop::Make() {
  const int fd = epoll_create1(EPOLL_CLOEXEC);
  if (fd < 0) {
    return Error{ResultCode::kInternal, "",
                 "cannot create an epoll descriptor"};
  }
  return std::unique_ptr<EventLoop>(new EventLoop(std::make_unique<Impl>(fd)));
}

absl::Time EventLoop::now() const {
  return impl_->now_;
}

void EventLoop::At(absl::Time when, std::function<void()> action) {
  impl_->timers_.push({when, impl_->next_order_++, std::move(action)});
}

void EventLoop::Watch(int fd, std::uint32_t events, FdHandler handler) {
  impl_->handlers_[fd] = std::make_shared<FdHandler>(std::move(handler));
  epoll_event event{};
  event.events = events;
  event.data.fd = fd;
  epoll_ctl(impl_->epoll_fd_, EPOLL_CTL_ADD, fd, &event);
}

void EventLoop::SetWatchedEvents(int fd, std::uint32_t events) {
  epoll_event event{};
  event.events = events;
  event.data.fd = fd;
  epoll_ctl(impl_->epoll_fd_, EPOLL_CTL_MOD, fd, &event);
}

void EventLoop::Unwatch(int fd) {
  impl_->handlers_.erase(fd);
  epoll_ctl(impl_->epoll_fd_, EPOLL_CTL_DEL, fd, nullptr);
}

void EventLoop::Defer(std::function<void()> action) {
  impl_->deferred_.push_back(std::move(action));
}

void EventLoop::RunUntil(absl::Time deadline) {
  impl_->stopped_ = false;
  impl_->now_ = absl::Now();
  impl_->RunDeferred();
  while (!impl_->stopped_ && impl_->now_ < deadline) {
    impl_->RunRound(deadline);
  }
}

void EventLoop::Stop() {
  impl_->stopped_ = true;
}

}  // namespace gcw::lab
