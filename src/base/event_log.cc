#include "gcw/base/event_log.h"

#include <limits.h>
#include <poll.h>
#include <pthread.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <map>
#include <string>
#include <thread>
#include <utility>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"
#include "gcw/base/thread.h"

namespace gcw {
namespace {

using SteadyClock = std::chrono::steady_clock;

// How long the writer waits for the reader before it looks whether the log is
// being closed.
constexpr int kPollTimeoutMs = 50;
// How long the reader may take to read the rest of a log that is being closed.
// The lines that are left then are dropped.
constexpr std::chrono::milliseconds kCloseTimeout(300);
// The rate limits are multiplied by this while the queue is over half full.
constexpr double kHalfFullRateFactor = 0.1;

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

std::uint64_t CountLines(std::string_view text) {
  return static_cast<std::uint64_t>(std::count(text.begin(), text.end(), '\n'));
}

// The rate limit of the lines with one event name.
struct TokenBucket {
  double tokens = 0;  // Lines that may be written now.
  absl::Time refilled_at = absl::InfinitePast();
  // Lines dropped since the last queued line of this event.
  std::uint64_t suppressed = 0;
};

}  // namespace

class EventLog::Impl {
 public:
  explicit Impl(const EventLogOptions& options)
      : options_(options), level_(options.level) {}

  ~Impl() { Close(); }

  EventLogStats Close() {
    {
      absl::MutexLock lock(&mutex_);
      stopping_ = true;
      close_deadline_ = SteadyClock::now() + kCloseTimeout;
    }
    if (thread_.joinable()) {
      thread_.join();
    }
    return stats();
  }

  Status Start() {
    Result<std::thread> thread = StartThread([this] { Run(); });
    if (!thread.ok()) {
      return thread.error();
    }
    thread_ = std::move(thread).value();
    pthread_setname_np(thread_.native_handle(), "log");
    return OkStatus();
  }

  bool Admit(LogLevel level, std::string_view event) {
    if (level < level_.load(std::memory_order_relaxed)) {
      return false;
    }
    absl::MutexLock lock(&mutex_);
    TokenBucket& bucket = TokenBucketFor(event);
    Refill(bucket, absl::Now());
    if (bucket.tokens < 1) {
      ++bucket.suppressed;
      ++stats_.suppressed;
      return false;
    }
    bucket.tokens -= 1;
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
    TokenBucket& bucket = TokenBucketFor(event);
    if (bucket.suppressed > 0) {
      line["suppressed"] = bucket.suppressed;
    }
    std::string text =
        line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    text += '\n';
    if (queue_.size() + text.size() > options_.queue_bytes) {
      ++bucket.suppressed;
      ++stats_.overflowed;
      return;
    }
    bucket.suppressed = 0;
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
  TokenBucket& TokenBucketFor(std::string_view event)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    const auto it = buckets_.find(event);
    if (it != buckets_.end()) {
      return it->second;
    }
    TokenBucket bucket;
    bucket.tokens = options_.lines_per_second;
    return buckets_.emplace(std::string(event), bucket).first->second;
  }

  void Refill(TokenBucket& bucket, absl::Time now)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    const bool over_half_full = queue_.size() > options_.queue_bytes / 2;
    const double rate = options_.lines_per_second *
                        (over_half_full ? kHalfFullRateFactor : 1.0);
    // The system time may be set back or forward, so the elapsed time is
    // limited to the range from zero to one second.
    const double seconds =
        std::clamp(absl::ToDoubleSeconds(now - bucket.refilled_at), 0.0, 1.0);
    bucket.tokens = std::min(bucket.tokens + seconds * rate, rate);
    bucket.refilled_at = now;
  }

  bool HasWork() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    return stopping_ || !queue_.empty();
  }

  void Run() {
    for (;;) {
      std::string batch;
      bool stopping = false;
      {
        absl::MutexLock lock(&mutex_);
        mutex_.Await(absl::Condition(this, &Impl::HasWork));
        // Waits for further lines to write them together; a shutdown ends the
        // wait.
        mutex_.AwaitWithTimeout(absl::Condition(&stopping_),
                                options_.batch_delay);
        batch.swap(queue_);
        stopping = stopping_;
      }
      WriteBatch(batch);
      if (stopping) {
        return;
      }
    }
  }

  // Writes `batch` and waits for the reader as long as necessary. Drops the
  // rest if the log is being closed and the time for that has expired.
  void WriteBatch(std::string_view batch) {
    const std::uint64_t lines = CountLines(batch);
    while (!batch.empty() && !CloseTimeExpired()) {
      pollfd ready{options_.descriptor, POLLOUT, 0};
      if (poll(&ready, 1, kPollTimeoutMs) <= 0) {
        continue;
      }
      // A longer write could block until the reader reads.
      const ssize_t bytes_written =
          write(options_.descriptor, batch.data(),
                std::min<std::size_t>(batch.size(), PIPE_BUF));
      if (bytes_written < 0 && (errno == EINTR || errno == EAGAIN)) {
        continue;
      }
      if (bytes_written <= 0) {
        break;  // The reader has closed its end.
      }
      batch.remove_prefix(static_cast<std::size_t>(bytes_written));
    }
    const std::uint64_t lost = CountLines(batch);
    absl::MutexLock lock(&mutex_);
    stats_.written += lines - lost;
    stats_.overflowed += lost;
  }

  bool CloseTimeExpired() const {
    absl::MutexLock lock(&mutex_);
    return stopping_ && SteadyClock::now() >= close_deadline_;
  }

  const EventLogOptions options_;
  std::atomic<LogLevel> level_;
  mutable absl::Mutex mutex_;
  std::string queue_ ABSL_GUARDED_BY(mutex_);
  std::map<std::string, TokenBucket, std::less<>> buckets_
      ABSL_GUARDED_BY(mutex_);
  EventLogStats stats_ ABSL_GUARDED_BY(mutex_);
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  SteadyClock::time_point close_deadline_ ABSL_GUARDED_BY(mutex_);
  std::thread thread_;
};

Result<std::unique_ptr<EventLog>> EventLog::Make(
    const EventLogOptions& options) {
  auto impl = std::make_unique<Impl>(options);
  const Status start_status = impl->Start();
  if (!start_status.ok()) {
    return start_status.error();
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
EventLogStats EventLog::Close() {
  return impl_->Close();
}
EventLogStats EventLog::stats() const {
  return impl_->stats();
}

}  // namespace gcw
