#ifndef GCW_TESTS_LEASE_LEASE_SIMULATION_H_
#define GCW_TESTS_LEASE_LEASE_SIMULATION_H_

#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "gcw/lease/lease.h"
#include "src/lease/records.h"

namespace gcw::lease {

// Runs several candidates for one lease against an in-memory store with faults,
// in simulated time. The candidates share one guarded object.
class LeaseSimulation {
 public:
  static constexpr const char* kLeaseKey = "lease/status";
  static constexpr const char* kGuardedKey = "status/zone-a";

  // The probabilities of faults of a store call, and its greatest delay in each
  // direction.
  struct Faults {
    double unavailable = 0;   // Fails without effect.
    double lost_answer = 0;   // Takes effect; the outcome is reported unknown.
    double lost_request = 0;  // Has no effect; the outcome is reported unknown.
    // Reported unknown at once; the write is tried 1 to 21 s later.
    double late_effect = 0;
    absl::Duration max_delay = absl::Milliseconds(20);
  };

  struct Candidate {
    std::string name;
    std::unique_ptr<Lease> lease;
    bool paused = false;
    // Answers of the store that arrived while the candidate was paused.
    std::vector<std::function<void()>> deferred_callbacks;
    absl::Duration clock_offset = absl::ZeroDuration();
    std::map<std::string, Result<Version>> outcomes;  // By the data written.
    std::string data_in_write;  // The data of the last accepted write.
    int writes = 0;
  };

  explicit LeaseSimulation(std::uint64_t seed) : random_(seed) {}

  Faults faults;
  bool store_down = false;

  absl::Time now() const { return now_; }
  Candidate& candidate(std::size_t i) { return *candidates_[i]; }

  void Add(std::string_view name) {
    auto candidate = std::make_unique<Candidate>();
    candidate->name = std::string(name);
    Options options;
    options.key = kLeaseKey;
    options.holder = std::string(name);
    options.guarded_keys = {kGuardedKey};
    auto made = Lease::Make(options, random_());
    REQUIRE(made.ok());
    candidate->lease = std::move(made).value();
    candidates_.push_back(std::move(candidate));
    ScheduleTick(*candidates_.back(), now_);
  }

  // The time on the candidate's own clock.
  absl::Time TimeOf(const Candidate& candidate) const {
    return now_ + candidate.clock_offset;
  }

  bool IsHeld(const Candidate& c) const { return c.lease->IsHeld(TimeOf(c)); }

  // The indices of the candidates that hold the lease by their own clocks.
  std::vector<std::size_t> Holders() const {
    std::vector<std::size_t> holders;
    for (std::size_t i = 0; i < candidates_.size(); ++i) {
      if (IsHeld(*candidates_[i])) {
        holders.push_back(i);
      }
    }
    return holders;
  }

  // Starts a fenced write of new data, if the candidate holds the lease and no
  // earlier write is in progress.
  Status StartWrite(Candidate& candidate) {
    const std::string data =
        "\"" + candidate.name + std::to_string(candidate.writes) + "\"";
    Status status =
        candidate.lease->FencedWrite(kGuardedKey, data, TimeOf(candidate));
    if (status.ok()) {
      ++candidate.writes;
      candidate.data_in_write = data;
    }
    return status;
  }

  // Saves the present objects as the copy that Restore() brings back.
  void SaveCopy() {
    copy_ = objects_;
    copy_revision_ = revision_;
  }
  // Restores the store from the copy: later writes are lost, and their
  // revisions are assigned again in the next epoch.
  void Restore() {
    objects_ = copy_;
    revision_ = copy_revision_;
    ++epoch_;
  }

  // A paused candidate neither ticks nor receives answers.
  void Pause(Candidate& candidate) { candidate.paused = true; }
  void Resume(Candidate& candidate) {
    candidate.paused = false;
    for (const auto& callback :
         std::exchange(candidate.deferred_callbacks, {})) {
      callback();
    }
  }

  void Run(absl::Duration duration) {
    const absl::Time end = now_ + duration;
    while (!queue_.empty() && queue_.begin()->first <= end) {
      auto event = queue_.extract(queue_.begin());
      now_ = event.key();
      event.mapped()();
      max_holders = std::max(max_holders, Holders().size());
    }
    now_ = end;
  }

  // Runs until `done` holds, at most about `limit`. Returns the time it took.
  absl::Duration RunUntil(const std::function<bool()>& done,
                          absl::Duration limit) {
    const absl::Time start = now_;
    while (!done() && now_ - start < limit) {
      Run(absl::Milliseconds(50));
    }
    return now_ - start;
  }

  // The data of all writes of the guarded object that took effect, in order.
  const std::vector<std::string>& applied() const { return applied_; }
  std::size_t TimesApplied(const std::string& data) const {
    return static_cast<std::size_t>(
        std::count(applied_.begin(), applied_.end(), data));
  }
  std::string guarded_data() const {
    return ParseGuarded(objects_.at(kGuardedKey).json).data;
  }
  std::uint64_t calls() const { return calls_; }

  // The greatest number of candidates that held the lease at the same time.
  std::size_t max_holders = 0;

 private:
  bool Chance(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
  }

  absl::Duration Delay() {
    return faults.max_delay *
           std::uniform_real_distribution<double>(0, 1)(random_);
  }

  void ScheduleTick(Candidate& candidate, absl::Time at) {
    queue_.emplace(at, [this, &candidate, at] {
      if (!candidate.paused) {
        Tick(candidate);
      }
      ScheduleTick(candidate, at + absl::Milliseconds(50));
    });
  }

  void Tick(Candidate& candidate) {
    const auto call = candidate.lease->OnTick(TimeOf(candidate));
    TakeOutcomes(candidate);
    if (!call) {
      return;
    }
    ++calls_;
    // The call reaches the store after a delay, even if the candidate is paused
    // in the meantime.
    queue_.emplace(now_ + Delay(), [this, &candidate, call = *call] {
      if (call.type == CallType::kRead) {
        Reply(candidate, call, ReadObject(call));
      } else {
        ReplyPut(candidate, call, PutObject(call));
      }
    });
  }

  // Calls `callback` after a delay, or if the candidate is paused by then, when
  // it resumes.
  void CallWhenRunning(Candidate& candidate, std::function<void()> callback) {
    queue_.emplace(now_ + Delay(),
                   [&candidate, callback = std::move(callback)] {
                     if (candidate.paused) {
                       candidate.deferred_callbacks.push_back(callback);
                       return;
                     }
                     callback();
                   });
  }

  void Reply(Candidate& candidate,
             const StoreCall& call,
             const Result<StoredObject>& result) {
    CallWhenRunning(candidate, [this, &candidate, id = call.id, result] {
      candidate.lease->OnRead(id, result, TimeOf(candidate));
      TakeOutcomes(candidate);
    });
  }

  void ReplyPut(Candidate& candidate,
                const StoreCall& call,
                const Result<Version>& result) {
    CallWhenRunning(candidate, [this, &candidate, id = call.id, result] {
      candidate.lease->OnPut(id, result, TimeOf(candidate));
      TakeOutcomes(candidate);
    });
  }

  void TakeOutcomes(Candidate& candidate) {
    for (auto& outcome : candidate.lease->TakeOutcomes()) {
      REQUIRE(outcome.key == kGuardedKey);
      candidate.outcomes.emplace(candidate.data_in_write, outcome.result);
    }
  }

  Result<StoredObject> ReadObject(const StoreCall& call) {
    if (store_down || Chance(faults.unavailable)) {
      return Error{ResultCode::kPlatformUnavailable, "", ""};
    }
    const auto it = objects_.find(call.key);
    StoredObject object = it == objects_.end() ? StoredObject() : it->second;
    object.epoch = epoch_;
    if (object.version != 0) {
      object.version = MakeStoreVersion(epoch_, object.version);
    }
    return object;
  }

  Result<Version> PutObject(const StoreCall& call) {
    const Error unknown{ResultCode::kPlatformOutcomeUnknown, "", ""};
    if (store_down || Chance(faults.unavailable)) {
      return Error{ResultCode::kPlatformUnavailable, "", ""};
    }
    if (Chance(faults.lost_request)) {
      return unknown;
    }
    if (Chance(faults.late_effect)) {
      queue_.emplace(now_ + absl::Seconds(1) + 1000 * Delay(),
                     [this, call] { (void)Apply(call); });
      return unknown;
    }
    Result<Version> result = Apply(call);
    return Chance(faults.lost_answer) ? Result<Version>(unknown) : result;
  }

  Result<Version> Apply(const StoreCall& call) {
    StoredObject& object = objects_[call.key];
    if (object.version != RevisionOf(call.if_version)) {
      return Error{ResultCode::kPlatformConflict, "", ""};
    }
    if (call.key == kGuardedKey) {
      const GuardedRecord before =
          object.version == 0 ? GuardedRecord() : ParseGuarded(object.json);
      const GuardedRecord after = ParseGuarded(call.json);
      // The fencing invariant: after a later holder has written the object, no
      // write of an earlier holder takes effect.
      REQUIRE(after.fence >= before.fence);
      if (after.data != before.data) {
        applied_.push_back(after.data);
      }
    }
    object = StoredObject{++revision_, call.json};
    return MakeStoreVersion(epoch_, revision_);
  }

  std::mt19937_64 random_;
  absl::Time now_ = absl::FromUnixSeconds(1'000'000);
  std::vector<std::unique_ptr<Candidate>> candidates_;
  std::multimap<absl::Time, std::function<void()>> queue_;
  // The versions of the stored objects are revisions, without the epoch.
  std::map<std::string, StoredObject> objects_;
  std::uint64_t revision_ = 0;
  std::map<std::string, StoredObject> copy_;
  std::uint64_t copy_revision_ = 0;
  StoreEpoch epoch_ = 0;
  std::vector<std::string> applied_;
  std::uint64_t calls_ = 0;
};

}  // namespace gcw::lease

#endif  // GCW_TESTS_LEASE_LEASE_SIMULATION_H_
