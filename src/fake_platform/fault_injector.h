#ifndef GCW_SRC_FAKE_PLATFORM_FAULT_INJECTOR_H_
#define GCW_SRC_FAKE_PLATFORM_FAULT_INJECTOR_H_

#include <cstdint>
#include <random>
#include <set>

#include "absl/time/time.h"

namespace gcw::fake_platform {

enum class CallKind { kList, kGet, kPut, kDelete, kWatch, kVms };

// How the platform fails as a whole.
enum class Outage {
  kNone,
  kRefusing,  // Every call is answered 503, without effect.
  kSilent,    // No call is answered, none has an effect.
};

// How long a call takes: a fixed part and an exponential one.
struct DelayOptions {
  absl::Duration base = absl::ZeroDuration();
  absl::Duration mean_extra = absl::ZeroDuration();
};

struct RateLimits {
  double reads_per_second = 2000;
  double writes_per_second = 300;
};

// What becomes of one call.
struct FaultDecision {
  enum class Kind { kServe, kUnavailable, kRateLimited, kNoAnswer };

  Kind kind = Kind::kServe;
  absl::Duration delay = absl::ZeroDuration();
  bool lose_answer = false;  // After the write has taken effect.
  bool answer_stale = false;
};

// Decides the faults of each call. Pure; not thread-safe.
class FaultInjector {
 public:
  FaultInjector(const RateLimits& limits, std::uint64_t seed);

  FaultDecision Decide(CallKind kind, std::uint32_t client_ip, absl::Time now);

  void set_outage(Outage outage) { outage_ = outage; }
  void set_delay(const DelayOptions& delay) { delay_ = delay; }
  void set_lost_answers(double share) { lost_answers_ = share; }
  void set_stale_reads(double share) { stale_reads_ = share; }
  void set_watch_stall(bool stalled) { watch_stall_ = stalled; }
  bool watch_stall() const { return watch_stall_; }
  Outage outage() const { return outage_; }
  void SetPartitioned(std::uint32_t client_ip, bool partitioned);
  bool IsPartitioned(std::uint32_t client_ip) const;

 private:
  // Calls that may still be made at once; refills with time.
  struct TokenBucket {
    double rate = 0;
    double tokens = 0;
    absl::Time filled_at = absl::InfinitePast();

    bool Take(absl::Time now);
  };

  bool Happens(double share);
  absl::Duration DrawDelay();

  std::mt19937_64 random_;
  TokenBucket reads_;
  TokenBucket writes_;
  Outage outage_ = Outage::kNone;
  DelayOptions delay_;
  double lost_answers_ = 0;
  double stale_reads_ = 0;
  bool watch_stall_ = false;
  std::set<std::uint32_t> partitioned_;
};

// Whether the call changes an object.
constexpr bool IsWrite(CallKind kind) {
  return kind == CallKind::kPut || kind == CallKind::kDelete;
}

}  // namespace gcw::fake_platform

#endif  // GCW_SRC_FAKE_PLATFORM_FAULT_INJECTOR_H_
