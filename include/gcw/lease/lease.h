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
  // The key of the lease object, for example "lease/status-zone-a".
  std::string key;
  // Identifies this member. Must be unique to the process, for example the
  // member's name and the start time of the process.
  std::string holder;
  // Keys of the objects that only the holder writes. The lease counts as held
  // only after each of them has been rewritten with the new fencing token;
  // writes of an earlier holder fail from then on.
  std::vector<std::string> guarded_keys;

  // Other members take the lease over after it has been unchanged this long.
  absl::Duration duration = absl::Seconds(10);
  // The interval between renewals by the holder and between reads by other
  // members, shortened by up to a fifth at random.
  absl::Duration renew_interval = absl::Seconds(3);
  // The bounds of the delay after a failed call to the store. The delay doubles
  // with each consecutive failure and is then shortened by up to half at
  // random.
  absl::Duration backoff_min = absl::Milliseconds(500);
  absl::Duration backoff_max = absl::Seconds(5);
  // The holder treats the lease as expired this long before `duration` has
  // passed, so that it stops before another member takes over.
  absl::Duration expiry_margin = absl::Seconds(1);
};

// kPut is a conditional write, see LeaseStore::PutIf().
enum class CallType { kRead, kPut };

// A call to the store that the caller of Lease::OnTick() must make. Its result
// goes to Lease::OnRead() or Lease::OnPut() with the same id.
struct StoreCall {
  std::uint64_t id = 0;
  CallType type = CallType::kRead;
  std::string key;
  std::string json;        // The value to write; only for kPut.
  Version if_version = 0;  // The version to replace; only for kPut.
};

// Counters since the creation of the lease, for metrics and status.
struct Stats {
  std::uint64_t acquired = 0;
  std::uint64_t lost = 0;  // Terms that ended other than by Release().
  std::uint64_t renewed = 0;
  // Writes whose answer was lost and that a later read showed to have taken
  // effect.
  std::uint64_t confirmed_by_read = 0;
  // Fenced writes that were rejected or abandoned because the lease was not
  // held.
  std::uint64_t refused_writes = 0;
};

// A lease with fenced writes, stored in one object of a versioned store. The
// holder renews it by conditional writes; another member takes over after it
// has seen the object unchanged for the lease duration on its own clock. Clocks
// of different members are never compared. A restore of the store from an older
// copy (its epoch rises) ends the term, and since the store may have lost
// leases, none is acquired for the lease duration afterwards. A term is the
// time from acquiring the lease to losing or releasing it.
//
// A state machine without I/O: OnTick() returns the store call to make, at most
// one at a time, and OnRead() and OnPut() take its result. Not thread-safe.
//
// `now` must come from a monotonic clock that also advances while the process
// is stopped or the VM is suspended. If the clock goes backwards, the lease is
// treated as expired.
class Lease {
 public:
  // Fails with kInvalidField if the key or the holder is empty, if a guarded
  // key is empty or the key of the lease, or if the duration does not exceed
  // the renewal interval and the expiry margin together. `random_seed` seeds
  // the jitter of renewals and retries.
  static Result<std::unique_ptr<Lease>> Make(const Options& options,
                                             std::uint64_t random_seed);

  ~Lease();
  Lease(const Lease&) = delete;
  Lease& operator=(const Lease&) = delete;

  // The next store call to make, or nullopt if none is due or one is still in
  // flight. Call about every 50 ms.
  std::optional<StoreCall> OnTick(absl::Time now);

  // Processes the result of the call `id`. Results of calls other than the one
  // in flight are ignored.
  void OnRead(std::uint64_t id,
              const Result<StoredObject>& result,
              absl::Time now);
  void OnPut(std::uint64_t id, const Result<Version>& result, absl::Time now);

  // Whether this member may act as the holder at `now`: it has acquired the
  // lease, has rewritten all guarded objects, and the lease has not expired.
  bool IsHeld(absl::Time now) const;

  // The fencing token of the current term: the version of the write that
  // acquired the lease. 0 if the lease was not held at the last call that took
  // a time.
  Version token() const;

  // The holder according to the last read or write of the lease object, for
  // status output; may be out of date. Empty if unknown.
  std::string_view last_seen_holder() const;

  // Starts a write of `json` (a JSON text) to the guarded object `key`;
  // OnTick() returns the store calls for it, and TakeOutcomes() its outcome.
  // Fails with kInvalidField if the key is not guarded or the text is not valid
  // JSON, with kLeaseLost if the lease is not held at `now` or Release() was
  // called, and with kLeaseHeld if an earlier write to the key is still in
  // progress.
  Status FencedWrite(std::string_view key,
                     std::string_view json,
                     absl::Time now);

  // The outcome of a fenced write.
  struct WriteOutcome {
    std::string key;
    // The new version of the object; kLeaseLost if the term ended before the
    // write took effect; kPlatformOutcomeUnknown if the term ended and the
    // write may have taken effect.
    Result<Version> result;
  };
  // The outcomes of fenced writes since the last call of this method.
  std::vector<WriteOutcome> TakeOutcomes();

  // Marks the lease as released once the writes in progress have ended, so that
  // another member can acquire it without waiting for it to expire. This object
  // does not acquire the lease again.
  void Release();

  Stats stats() const;

 private:
  struct State;
  explicit Lease(std::unique_ptr<State> state);

  std::unique_ptr<State> state_;
};

// The clock that provides the `now` of Lease; see Lease for the requirements.
class MonotonicClock {
 public:
  virtual ~MonotonicClock() = default;
  virtual absl::Time Now() = 0;
};

// Ticks `lease` and executes the calls it returns on `store` until none is due
// or `max_calls` were made. Blocks as long as the store does. `clock` is read
// again after each call, so the time that a call took counts towards expiry.
// Not thread-safe.
void ExecuteStoreCalls(Lease& lease,
                       LeaseStore& store,
                       MonotonicClock& clock,
                       int max_calls);

}  // namespace gcw::lease

#endif  // GCW_LEASE_LEASE_H_
