#ifndef GCW_REVIEW_LOOP_H_
#define GCW_REVIEW_LOOP_H_

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace review {

// Seconds since the program started, by the monotonic clock.
inline double Now() {
  using Clock = std::chrono::steady_clock;
  static const Clock::time_point start = Clock::now();
  return std::chrono::duration<double>(Clock::now() - start).count();
}

// Milliseconds since 1970.
inline std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// The file record.txt. Thread-safe.
class Record {
 public:
  explicit Record(const std::string& path) : file_(fopen(path.c_str(), "w")) {}
  ~Record() {
    if (file_ != nullptr) {
      fclose(file_);
    }
  }
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  // Writes one line with the time. Also prints it if `loud`.
  void Line(bool loud, const char* format, va_list args) {
    char text[1024];
    vsnprintf(text, sizeof(text), format, args);
    const std::lock_guard lock(mutex_);
    if (file_ != nullptr) {
      fprintf(file_, "%8.3f %s\n", Now(), text);
      fflush(file_);
    }
    if (loud) {
      printf("%8.3f %s\n", Now(), text);
      fflush(stdout);
    }
  }
  __attribute__((format(printf, 2, 3))) void Write(const char* format, ...) {
    va_list args;
    va_start(args, format);
    Line(false, format, args);
    va_end(args);
  }
  __attribute__((format(printf, 2, 3))) void Say(const char* format, ...) {
    va_list args;
    va_start(args, format);
    Line(true, format, args);
    va_end(args);
  }

 private:
  std::mutex mutex_;
  FILE* file_;
};

// Runs timers and watches descriptors on one thread.
class Loop {
 public:
  void At(double time, std::function<void()> action) {
    timers_.emplace(time, std::move(action));
  }
  void After(double delay, std::function<void()> action) {
    At(Now() + delay, std::move(action));
  }
  void Watch(int fd, std::function<void()> on_readable) {
    watched_[fd] = std::move(on_readable);
  }
  void Unwatch(int fd) { watched_.erase(fd); }

  void RunUntil(double end) {
    while (Now() < end) {
      RunTimers();
      double wait = end - Now();
      if (!timers_.empty()) {
        wait = std::min(wait, timers_.begin()->first - Now());
      }
      std::vector<pollfd> fds;
      for (const auto& [fd, handler] : watched_) {
        fds.push_back({fd, POLLIN, 0});
      }
      const int timeout_ms =
          std::clamp(static_cast<int>(wait * 1000) + 1, 0, 50);
      if (poll(fds.data(), fds.size(), timeout_ms) <= 0) {
        continue;
      }
      for (const pollfd& fd : fds) {
        const auto it = watched_.find(fd.fd);
        if (fd.revents != 0 && it != watched_.end()) {
          const auto handler = it->second;
          handler();
        }
      }
    }
  }

 private:
  void RunTimers() {
    while (!timers_.empty() && timers_.begin()->first <= Now()) {
      auto node = timers_.extract(timers_.begin());
      node.mapped()();
    }
  }

  std::multimap<double, std::function<void()>> timers_;
  std::map<int, std::function<void()>> watched_;
};

}  // namespace review

#endif  // GCW_REVIEW_LOOP_H_
