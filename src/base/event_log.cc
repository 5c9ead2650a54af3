#include "gcw/base/event_log.h"

#include <poll.h>
#include <pthread.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <map>
#include <string>
#include <thread>
#include <utility>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"

namespace gcw {
namespace {

// How long the last lines may take when the process ends.
constexpr int kLastWriteMs = 1000;
// The rate of each kind falls to this part while the queue is over half full.
constexpr double kCrowdedShare = 0.1;

std::string_view LevelName(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    default:
      return "error";
  }
}

std::uint64_t LinesIn(std::string_view text) {
  return static_cast<std::uint64_t>(std::count(text.begin(), text.end(), '\n'));
}

// Lines of one kind of event that may still be written.
struct Budget {
  double tokens = 0;
  absl::Time filled_at = absl::InfinitePast();
  std::uint64_t suppressed = 0;  // Since the last line of this kind.
};

}  // namespace

class EventLog::Impl {
 public:
  explicit Impl(const EventLogOptions& options)
      : options_(options), level_(options.level) {}

  ~Impl() {
    {
      absl::MutexLock lock(&mutex_);
      ending_ = true;
    }
    if (thread_.joinable()) {
      thread_.join();
    }
  }

  Status Start() {
    try {
      thread_ = std::thread([this] { Run(); });
    } catch (const std::system_error& error) {
      return Error{ResultCode::kInternal, "", error.what()};
    }
    pthread_setname_np(thread_.native_handle(), "log");
    return OkStatus();
  }

  bool Admit(LogLevel level, std::string_view event) {
    if (level < level_.load(std::memory_order_relaxed)) {
      return false;
    }
    absl::MutexLock lock(&mutex_);
    Budget& budget = BudgetOf(event);
    Refill(budget, absl::Now());
    if (budget.tokens < 1) {
      ++budget.suppressed;
      ++stats_.suppressed;
      return false;
    }
    budget.tokens -= 1;
    return true;
  }

  void Write(LogLevel level,
             std::string_view part,
             std::string_view event,
             const nlohmann::ordered_json& fields) {
    nlohmann::ordered_json line;
    line["time_us"] = absl::ToUnixMicros(absl::Now());
    line["level"] = LevelName(level);
    line["part"] = part;
    line["event"] = event;
    line.update(fields);
    absl::MutexLock lock(&mutex_);
    Budget& budget = BudgetOf(event);
    if (budget.suppressed > 0) {
      line["suppressed"] = budget.suppressed;
    }
    std::string text =
        line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    text += '\n';
    if (queue_.size() + text.size() > options_.queue_bytes) {
      ++budget.suppressed;
      ++stats_.overflowed;
      return;
    }
    budget.suppressed = 0;
    queue_ += text;
  }

  void set_level(LogLevel level) {
    level_.store(level, std::memory_order_relaxed);
  }

  EventLogStats stats() const {
    absl::MutexLock lock(&mutex_);
    EventLogStats stats = stats_;
    stats.queued_bytes = queue_.size();
    return stats;
  }

 private:
  Budget& BudgetOf(std::string_view event)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    const auto it = budgets_.find(event);
    if (it != budgets_.end()) {
      return it->second;
    }
    Budget budget;
    budget.tokens = options_.lines_per_second;
    return budgets_.emplace(std::string(event), budget).first->second;
  }

  void Refill(Budget& budget, absl::Time now)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    const bool crowded = queue_.size() > options_.queue_bytes / 2;
    const double rate =
        options_.lines_per_second * (crowded ? kCrowdedShare : 1.0);
    // The time of day may jump; a step counts as a second at most.
    const double seconds =
        std::clamp(absl::ToDoubleSeconds(now - budget.filled_at), 0.0, 1.0);
    budget.tokens = std::min(budget.tokens + seconds * rate, rate);
    budget.filled_at = now;
  }

  bool HasWork() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    return ending_ || !queue_.empty();
  }

  void Run() {
    for (;;) {
      std::string batch;
      bool ending = false;
      {
        absl::MutexLock lock(&mutex_);
        mutex_.Await(absl::Condition(this, &Impl::HasWork));
        // Lines that follow soon go with these.
        mutex_.AwaitWithTimeout(absl::Condition(&ending_), options_.gather);
        batch.swap(queue_);
        ending = ending_;
      }
      Put(batch, ending);
      if (ending) {
        return;
      }
    }
  }

  // Writes `batch`; waits for the reader, but not for ever at the end.
  void Put(std::string_view batch, bool ending) {
    const std::uint64_t lines = LinesIn(batch);
    while (!batch.empty()) {
      pollfd ready{options_.descriptor, POLLOUT, 0};
      if (ending && poll(&ready, 1, kLastWriteMs) <= 0) {
        return;
      }
      const ssize_t done =
          write(options_.descriptor, batch.data(), batch.size());
      if (done < 0 && (errno == EINTR || errno == EAGAIN)) {
        poll(&ready, 1, kLastWriteMs);
        continue;
      }
      if (done <= 0) {
        break;  // The reader is gone.
      }
      batch.remove_prefix(static_cast<std::size_t>(done));
    }
    const std::uint64_t lost = LinesIn(batch);
    absl::MutexLock lock(&mutex_);
    stats_.written += lines - lost;
    stats_.overflowed += lost;
  }

  const EventLogOptions options_;
  std::atomic<LogLevel> level_;
  mutable absl::Mutex mutex_;
  std::string queue_ ABSL_GUARDED_BY(mutex_);
  std::map<std::string, Budget, std::less<>> budgets_ ABSL_GUARDED_BY(mutex_);
  EventLogStats stats_ ABSL_GUARDED_BY(mutex_);
  bool ending_ ABSL_GUARDED_BY(mutex_) = false;
  std::thread thread_;
};

Result<std::unique_ptr<EventLog>> EventLog::Make(
    const EventLogOptions& options) {
  auto impl = std::make_unique<Impl>(options);
  const Status started = impl->Start();
  if (!started.ok()) {
    return started.error();
  }
  return std::unique_ptr<EventLog>(new EventLog(std::move(impl)));
}

EventLog::EventLog(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
EventLog::~EventLog() = default;

bool EventLog::Admit(LogLevel level, std::string_view event) {
  return impl_->Admit(level, event);
}
void EventLog::Write(LogLevel level,
                     std::string_view part,
                     std::string_view event,
                     const nlohmann::ordered_json& fields) {
  impl_->Write(level, part, event, fields);
}
void EventLog::set_level(LogLevel level) {
  impl_->set_level(level);
}
EventLogStats EventLog::stats() const {
  return impl_->stats();
}

}  // namespace gcw
