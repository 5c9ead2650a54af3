#include "gcw/kernel/event_loop.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cassert>
#include <cerrno>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "gcw/base/system_error.h"

namespace gcw::kernel {
namespace {

// The maximum number of ready descriptors that one epoll_wait call returns.
constexpr int kMaxEventsPerWait = 64;
// The maximum time of one epoll_wait call while no timer is due.
constexpr absl::Duration kMaxWait = absl::Seconds(1);

struct Timer {
  absl::Duration period;
  absl::Time due;
  EventLoop::Handler handler;
};

}  // namespace

class EventLoop::Impl {
 public:
  ~Impl() {
    if (epoll_fd_ >= 0) {
      close(epoll_fd_);
    }
    if (wake_fd_ >= 0) {
      close(wake_fd_);
    }
  }

  Status Open() {
    epoll_fd_ = epoll_create1(EPOLL_CLOEXEC);
    if (epoll_fd_ < 0) {
      return SystemError(ResultCode::kInternal, "epoll_create1", errno);
    }
    wake_fd_ = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    if (wake_fd_ < 0) {
      return SystemError(ResultCode::kInternal, "eventfd", errno);
    }
    return Watch(wake_fd_, EPOLLIN, [this] { DrainWake(); });
  }

  Status Watch(int fd, std::uint32_t events, Handler handler) {
    epoll_event event{};
    event.events = events;
    event.data.fd = fd;
    if (epoll_ctl(epoll_fd_, EPOLL_CTL_ADD, fd, &event) != 0) {
      return SystemError(ResultCode::kInternal, "epoll_ctl", errno);
    }
    handlers_[fd] = std::make_shared<Handler>(std::move(handler));
    return OkStatus();
  }

  void Unwatch(int fd) {
    if (handlers_.erase(fd) > 0) {
      epoll_ctl(epoll_fd_, EPOLL_CTL_DEL, fd, nullptr);
    }
  }

  void AddTimer(absl::Duration period, Handler handler) {
    assert(period > absl::ZeroDuration());
    timers_.push_back({period, MonotonicNow() + period, std::move(handler)});
  }

  void Run() {
    while (!stopped_.load(std::memory_order_acquire)) {
      DispatchReadyDescriptors(WaitTime());
      RunDueTimers();
    }
  }

  void Stop() {
    stopped_.store(true, std::memory_order_release);
    const std::uint64_t one = 1;
    [[maybe_unused]] const ssize_t written = write(wake_fd_, &one, sizeof(one));
  }

 private:
  void DrainWake() {
    std::uint64_t count = 0;
    [[maybe_unused]] const ssize_t bytes_read =
        read(wake_fd_, &count, sizeof(count));
  }

  absl::Duration WaitTime() const {
    absl::Duration wait = kMaxWait;
    const absl::Time now = MonotonicNow();
    for (const Timer& timer : timers_) {
      wait = std::min(wait, timer.due - now);
    }
    return std::max(wait, absl::ZeroDuration());
  }

  void DispatchReadyDescriptors(absl::Duration wait) {
    std::array<epoll_event, kMaxEventsPerWait> events;
    // The wait is rounded up to whole milliseconds, so that the next timer is
    // due when epoll_wait returns.
    const auto wait_ms = static_cast<int>(
        absl::ToInt64Milliseconds(wait + absl::Microseconds(999)));
    const int count =
        epoll_wait(epoll_fd_, events.data(), kMaxEventsPerWait, wait_ms);
    for (int i = 0; i < count; ++i) {
      const auto it =
          handlers_.find(events[static_cast<std::size_t>(i)].data.fd);
      if (it == handlers_.end()) {
        continue;
      }
      // The copy keeps the handler alive if it unwatches its own descriptor.
      const std::shared_ptr<Handler> handler = it->second;
      (*handler)();
    }
  }

  void RunDueTimers() {
    // A handler may add timers and so reallocate the vector: iterate by index.
    for (std::size_t i = 0; i < timers_.size(); ++i) {
      const absl::Time now = MonotonicNow();
      if (timers_[i].due > now) {
        continue;
      }
      // A handler that is late by a period or more skips the missed calls.
      const absl::Time next = timers_[i].due + timers_[i].period;
      timers_[i].due = next > now ? next : now + timers_[i].period;
      const Handler handler = timers_[i].handler;
      handler();
    }
  }

  int epoll_fd_ = -1;
  int wake_fd_ = -1;
  absl::flat_hash_map<int, std::shared_ptr<Handler>> handlers_;
  std::vector<Timer> timers_;
  std::atomic<bool> stopped_{false};
};

Result<std::unique_ptr<EventLoop>> EventLoop::Make() {
  auto impl = std::make_unique<Impl>();
  const Status open_status = impl->Open();
  if (!open_status.ok()) {
    return open_status.error();
  }
  return std::unique_ptr<EventLoop>(new EventLoop(std::move(impl)));
}

EventLoop::EventLoop(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
EventLoop::~EventLoop() = default;

Status EventLoop::WatchReadable(int fd, Handler handler) {
  return impl_->Watch(fd, EPOLLIN, std::move(handler));
}
Status EventLoop::WatchWritable(int fd, Handler handler) {
  return impl_->Watch(fd, EPOLLOUT, std::move(handler));
}
void EventLoop::Unwatch(int fd) {
  impl_->Unwatch(fd);
}
void EventLoop::AddTimer(absl::Duration period, Handler handler) {
  impl_->AddTimer(period, std::move(handler));
}
void EventLoop::Run() {
  impl_->Run();
}
void EventLoop::Stop() {
  impl_->Stop();
}

absl::Time MonotonicNow() {
  timespec now{};
  // Unlike CLOCK_MONOTONIC, CLOCK_BOOTTIME advances while the VM is suspended.
  // A lease expires for the other daemons during a suspension, so it must
  // expire for this process as well.
  clock_gettime(CLOCK_BOOTTIME, &now);
  return absl::TimeFromTimespec(now);
}

}  // namespace gcw::kernel
