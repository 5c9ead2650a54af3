#include "src/api/connection_waiter.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <utility>

#include "absl/time/clock.h"

namespace gcw::api {
namespace {

// How often the thread checks timeouts and whether it has to end.
constexpr int kTickMs = 50;
constexpr int kMaxEvents = 64;

}  // namespace

ConnectionWaiter::ConnectionWaiter(std::size_t max_connections,
                                   absl::Duration idle_timeout,
                                   ReadyCallback on_ready)
    : max_connections_(max_connections),
      idle_timeout_(idle_timeout),
      on_ready_(std::move(on_ready)) {}

ConnectionWaiter::~ConnectionWaiter() {
  Stop();
  if (epoll_ >= 0) {
    close(epoll_);
  }
}

bool ConnectionWaiter::Start() {
  epoll_ = epoll_create1(EPOLL_CLOEXEC);
  if (epoll_ < 0) {
    return false;
  }
  {
    const absl::MutexLock lock(&mutex_);
    stopped_ = false;
  }
  thread_ = std::thread([this] { Run(); });
  return true;
}

void ConnectionWaiter::Add(int fd) {
  const absl::MutexLock lock(&mutex_);
  if (stopped_) {
    close(fd);
    return;
  }
  const std::uint64_t id = ++last_id_;
  epoll_event event{};
  event.events = EPOLLIN | EPOLLRDHUP;
  event.data.u64 = id;
  if (epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &event) != 0) {
    close(fd);
    return;
  }
  waiting_[id] = {fd, absl::Now() + idle_timeout_};
  if (waiting_.size() > max_connections_) {
    CloseOldest();
  }
}

void ConnectionWaiter::Stop() {
  {
    const absl::MutexLock lock(&mutex_);
    stopped_ = true;
    while (!waiting_.empty()) {
      CloseOldest();
    }
  }
  if (thread_.joinable()) {
    thread_.join();
  }
}

void ConnectionWaiter::Run() {
  epoll_event events[kMaxEvents];
  while (true) {
    const int count = epoll_wait(epoll_, events, kMaxEvents, kTickMs);
    for (int i = 0; i < count; ++i) {
      const int fd = Take(events[i].data.u64);
      if (fd >= 0) {
        on_ready_(fd);
      }
    }
    CloseExpired();
    const absl::MutexLock lock(&mutex_);
    if (stopped_) {
      return;
    }
  }
}

int ConnectionWaiter::Take(std::uint64_t id) {
  const absl::MutexLock lock(&mutex_);
  const auto found = waiting_.find(id);
  if (found == waiting_.end()) {
    return -1;
  }
  const int fd = found->second.fd;
  waiting_.erase(found);
  epoll_ctl(epoll_, EPOLL_CTL_DEL, fd, nullptr);
  return fd;
}

void ConnectionWaiter::CloseExpired() {
  const absl::Time now = absl::Now();
  const absl::MutexLock lock(&mutex_);
  while (!waiting_.empty() && waiting_.begin()->second.deadline <= now) {
    CloseOldest();
  }
}

void ConnectionWaiter::CloseOldest() {
  close(waiting_.begin()->second.fd);
  waiting_.erase(waiting_.begin());
}

}  // namespace gcw::api
