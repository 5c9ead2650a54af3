#ifndef REVIEW_STAND_INS_3_LOOP_H_
#define REVIEW_STAND_INS_3_LOOP_H_

#include <poll.h>
#include <time.h>

#include <cstdint>
#include <functional>
#include <map>
#include <utility>
#include <vector>

namespace review3 {

// Timers and descriptors of one thread. Times are in seconds since the loop was
// made, by the steady clock.
class Loop {
 public:
  Loop() : start_(Clock()) {}

  double now() const { return Clock() - start_; }

  void At(double when, std::function<void()> action) {
    timers_.emplace(when, std::move(action));
  }
  void After(double delay, std::function<void()> action) {
    At(now() + delay, std::move(action));
  }

  void WatchReadable(int fd, std::function<void()> action) {
    readable_[fd] = std::move(action);
  }
  void WatchWritable(int fd, std::function<void()> action) {
    writable_[fd] = std::move(action);
  }
  void UnwatchWritable(int fd) { writable_.erase(fd); }
  void Unwatch(int fd) {
    readable_.erase(fd);
    writable_.erase(fd);
  }

  // Runs timers and descriptors until `end`.
  void RunUntil(double end) {
    while (now() < end) {
      Step(end);
    }
  }

 private:
  static double Clock() {
    timespec time{};
    clock_gettime(CLOCK_MONOTONIC, &time);
    return static_cast<double>(time.tv_sec) +
           1e-9 * static_cast<double>(time.tv_nsec);
  }

  void Step(double end) {
    while (!timers_.empty() && timers_.begin()->first <= now()) {
      const auto action = std::move(timers_.begin()->second);
      timers_.erase(timers_.begin());
      action();
    }
    double next = end;
    if (!timers_.empty() && timers_.begin()->first < next) {
      next = timers_.begin()->first;
    }
    const double wait = next - now();
    std::map<int, short> wanted;
    for (const auto& [fd, action] : readable_) {
      wanted[fd] |= POLLIN;
    }
    for (const auto& [fd, action] : writable_) {
      wanted[fd] |= POLLOUT;
    }
    std::vector<pollfd> fds;
    for (const auto& [fd, events] : wanted) {
      fds.push_back({fd, events, 0});
    }
    const int timeout = wait <= 0 ? 0 : static_cast<int>(wait * 1000) + 1;
    if (poll(fds.data(), fds.size(), timeout) <= 0) {
      return;
    }
    for (const pollfd& fd : fds) {
      if ((fd.revents & ~POLLOUT) != 0) {
        Run(readable_, fd.fd);
      }
      if ((fd.revents & (POLLOUT | POLLERR | POLLHUP)) != 0) {
        Run(writable_, fd.fd);
      }
    }
  }

  static void Run(const std::map<int, std::function<void()>>& actions, int fd) {
    const auto it = actions.find(fd);
    if (it != actions.end()) {
      const auto action = it->second;
      action();
    }
  }

  const double start_;
  std::multimap<double, std::function<void()>> timers_;
  std::map<int, std::function<void()>> readable_;
  std::map<int, std::function<void()>> writable_;
};

}  // namespace review3

#endif  // REVIEW_STAND_INS_3_LOOP_H_
