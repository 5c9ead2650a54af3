#ifndef GCW_SRC_FAKE_PLATFORM_FAULT_INJECTOR_H_
#define GCW_SRC_FAKE_PLATFORM_FAULT_INJECTOR_H_

#include <cstdint>
#include <random>
#include <set>

#include "absl/time/time.h"

namespace gcw::fake_platform {

// The calls of the object API.
enum class CallKind { kList, kGet, kPut, kDelete, kWatch, kVms };

// An outage of the whole platform.
enum class Outage {
  kNone,
  kRefusing,  // Every call fails with HTTP status 503 and has no effect.
  kSilent,    // No call is answered or has an effect.
};

// The delay of a call: `base` plus an exponentially distributed time with the
// mean `mean_extra`.
struct DelayOptions {
  absl::Duration base = absl::ZeroDuration();
  absl::Duration mean_extra = absl::ZeroDuration();
};

// Maximum rates of calls from all clients together. Calls beyond them fail with
// HTTP status 429.
struct RateLimits {
  double reads_per_second = 2000;
  double writes_per_second = 300;
};

// The faults that are injected into one call.
struct FaultDecision {
  enum class Kind { kServe, kUnavailable, kRateLimited, kNoAnswer };

  Kind kind = Kind::kServe;
  absl::Duration delay = absl::ZeroDuration();
  // The write takes effect, but its answer is lost.
  bool lose_answer = false;
  // If positive, the write gets no answer and is executed after this time.
  absl::Duration late_by = absl::ZeroDuration();
  // The read is answered with the saved stale state.
  bool answer_stale = false;
};

// Decides which faults are injected into each call, with random choices that
// depend only on the seed. Does no I/O. Not thread-safe.
class FaultInjector {
 public:
  FaultInjector(const RateLimits& limits, std::uint64_t seed);

  // Returns the faults of a call that `client_ip` makes at `now`. `now` must
  // not decrease from call to call.
  FaultDecision Decide(CallKind kind, std::uint32_t client_ip, absl::Time now);

  void set_outage(Outage outage) { outage_ = outage; }
  void set_delay(const DelayOptions& delay) { delay_ = delay; }
  void set_lost_answers(double probability) { lost_answers_ = probability; }
  void set_late_writes(double probability) { late_writes_ = probability; }
  void set_stale_reads(double probability) { stale_reads_ = probability; }
  void set_watch_stall(bool stalled) { watch_stall_ = stalled; }
  bool watch_stall() const { return watch_stall_; }
  Outage outage() const { return outage_; }
  void SetPartitioned(std::uint32_t client_ip, bool partitioned);
  bool IsPartitioned(std::uint32_t client_ip) const;

 private:
  // Token bucket that limits the rate of calls. It holds the calls of at most
  // one second.
  struct TokenBucket {
    double rate = 0;  // Calls per second.
    double tokens = 0;
    absl::Time filled_at = absl::InfinitePast();

    // Takes a token. Returns false if there is none, so the call exceeds the
    // rate.
    bool Take(absl::Time now);
  };

  // Returns true with the given probability.
  bool DrawEvent(double probability);
  absl::Duration DrawDelay();
  // The time by which a write that is executed late is late.
  absl::Duration DrawLateness();

  std::mt19937_64 random_;
  TokenBucket reads_;
  TokenBucket writes_;
  Outage outage_ = Outage::kNone;
  DelayOptions delay_;
  double lost_answers_ = 0;
  double late_writes_ = 0;
  double stale_reads_ = 0;
  bool watch_stall_ = false;
  std::set<std::uint32_t> partitioned_;
};

// Returns whether calls of this kind change an object.
constexpr bool IsWrite(CallKind kind) {
  return kind == CallKind::kPut || kind == CallKind::kDelete;
}

}  // namespace gcw::fake_platform

#endif  // GCW_SRC_FAKE_PLATFORM_FAULT_INJECTOR_H_
