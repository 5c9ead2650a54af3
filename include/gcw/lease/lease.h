#ifndef GCW_LEASE_LEASE_H_
#define GCW_LEASE_LEASE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "gcw/base/result.h"
#include "gcw/lease/lease_store.h"

namespace gcw::lease {

struct Options {
  std::string key;     // For example "lease/status-zone-a".
  std::string holder;  // This member's name and process start.
  // Objects that only the holder writes. The lease counts as held only after
  // each of them was rewritten under it, which makes writes of an earlier
  // holder fail from then on.
  std::vector<std::string> guarded_keys;

  absl::Duration duration = absl::Seconds(10);
  absl::Duration renew_interval = absl::Seconds(3);
  absl::Duration backoff_min = absl::Milliseconds(500);
  absl::Duration backoff_max = absl::Seconds(5);
  // The holder stops this long before others may take over.
  absl::Duration expiry_margin = absl::Seconds(1);
};

enum class CallType { kRead, kPut };

// A call to the store. Answer it with the same id.
struct StoreCall {
  std::uint64_t id = 0;
  CallType type = CallType::kRead;
  std::string key;
  std::string json;        // kPut.
  Version if_version = 0;  // kPut.
};

// Numbers for metrics and status.
struct Stats {
  std::uint64_t acquired = 0;
  std::uint64_t lost = 0;
  std::uint64_t renewed = 0;
  std::uint64_t confirmed_by_read =
      0;  // Own writes whose answer had been lost.
  std::uint64_t refused_writes = 0;
};

// A lease on one object of the platform. The holder renews it by conditional
// writes; others take over when they have seen the object unchanged for its
// whole duration on their own clock. Clocks of members are never compared.
// Pure: at most one store call is under way at a time. Not thread-safe.
//
// `now` must come from a monotonic clock that also counts while the process is
// stopped or the VM is suspended. A clock that goes backwards counts as expiry.
class Lease {
 public:
  // Fails with kInvalidField for empty names, or a duration that is not longer
  // than renewal interval and expiry margin together.
  static Result<std::unique_ptr<Lease>> Make(const Options& options,
                                             std::uint64_t random_seed);

  ~Lease();
  Lease(const Lease&) = delete;
  Lease& operator=(const Lease&) = delete;

  // The next call to make, if one is due and none is under way. Call every
  // 50 ms or so.
  std::optional<StoreCall> OnTick(absl::Time now);

  // Answers to the call `id`; answers to other calls are ignored.
  void OnRead(std::uint64_t id,
              const Result<StoredObject>& result,
              absl::Time now);
  void OnPut(std::uint64_t id, const Result<Version>& result, absl::Time now);

  // Whether this member may act as holder at `now`.
  bool IsHeld(absl::Time now) const;

  // The fencing token of this tenure: the version of the write that acquired
  // the lease. 0 if not held by now's last word.
  Version token() const;

  // The holder that the last read showed, for status; may be out of date.
  std::string_view last_seen_holder() const;

  // Starts a write of `json` (a JSON text) to the guarded object `key`; OnTick
  // gives the calls for it. Fails with kLeaseLost if the lease is not held,
  // kInvalidField if the key is not guarded or the text is no JSON, and
  // kLeaseHeld if a write to the key is still under way.
  Status FencedWrite(std::string_view key,
                     std::string_view json,
                     absl::Time now);

  // Outcomes of fenced writes since the last call.
  struct WriteOutcome {
    std::string key;
    // The new version, or kLeaseLost if a later holder has written the object.
    Result<Version> result;
  };
  std::vector<WriteOutcome> TakeOutcomes();

  // Gives the lease up at the next tick, so that another can take it at once.
  void Release();

  Stats stats() const;

 private:
  struct State;
  explicit Lease(std::unique_ptr<State> state);

  std::unique_ptr<State> state_;
};

// Ticks `lease` and carries out its calls on `store`, at most `max_calls`.
// Blocks as long as the store does. `clock` is read after each call, so the
// time that a call took counts. Not thread-safe.
class MonotonicClock {
 public:
  virtual ~MonotonicClock() = default;
  virtual absl::Time Now() = 0;
};
void ExecuteStoreCalls(Lease& lease,
                       LeaseStore& store,
                       MonotonicClock& clock,
                       int max_calls);

}  // namespace gcw::lease

#endif  // GCW_LEASE_LEASE_H_
