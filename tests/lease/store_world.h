#ifndef GCW_TESTS_LEASE_STORE_WORLD_H_
#define GCW_TESTS_LEASE_STORE_WORLD_H_

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

// Several candidates for one lease and a store that fails, in simulated time.
class StoreWorld {
 public:
  static constexpr const char* kLease = "lease/status";
  static constexpr const char* kGuarded = "status/zone-a";

  struct Faults {
    double unavailable = 0;   // Refused without effect.
    double lost_answer = 0;   // Takes effect, outcome unknown.
    double lost_request = 0;  // No effect, outcome unknown.
    double late_effect = 0;   // Outcome unknown, tried seconds later.
    absl::Duration max_delay = absl::Milliseconds(20);
  };

  struct Candidate {
    std::string name;
    std::unique_ptr<Lease> lease;
    bool paused = false;
    std::vector<std::function<void()>> waiting;
    absl::Duration clock_offset = absl::ZeroDuration();
    std::map<std::string, Result<Version>> outcomes;  // By data written.
    std::string writing;
    int writes = 0;
  };

  explicit StoreWorld(std::uint64_t seed) : random_(seed) {}

  Faults faults;
  bool down = false;

  absl::Time now() const { return now_; }
  Candidate& candidate(std::size_t i) { return *candidates_[i]; }

  void Add(std::string_view name) {
    auto candidate = std::make_unique<Candidate>();
    candidate->name = std::string(name);
    Options options;
    options.key = kLease;
    options.holder = std::string(name);
    options.guarded_keys = {kGuarded};
    auto made = Lease::Make(options, random_());
    REQUIRE(made.ok());
    candidate->lease = std::move(made).value();
    candidates_.push_back(std::move(candidate));
    ScheduleTick(*candidates_.back(), now_);
  }

  absl::Time Clock(const Candidate& candidate) const {
    return now_ + candidate.clock_offset;
  }

  bool IsHeld(const Candidate& c) const { return c.lease->IsHeld(Clock(c)); }

  std::vector<std::size_t> Holders() const {
    std::vector<std::size_t> holders;
    for (std::size_t i = 0; i < candidates_.size(); ++i) {
      if (IsHeld(*candidates_[i])) {
        holders.push_back(i);
      }
    }
    return holders;
  }

  // Starts a fenced write of fresh data, if the candidate may.
  Status Write(Candidate& candidate) {
    const std::string data =
        "\"" + candidate.name + std::to_string(candidate.writes) + "\"";
    Status status =
        candidate.lease->FencedWrite(kGuarded, data, Clock(candidate));
    if (status.ok()) {
      ++candidate.writes;
      candidate.writing = data;
    }
    return status;
  }

  void Pause(Candidate& candidate) { candidate.paused = true; }
  void Resume(Candidate& candidate) {
    candidate.paused = false;
    for (const auto& what : std::exchange(candidate.waiting, {})) {
      what();
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

  absl::Duration RunUntil(const std::function<bool()>& done,
                          absl::Duration limit) {
    const absl::Time start = now_;
    while (!done() && now_ - start < limit) {
      Run(absl::Milliseconds(50));
    }
    return now_ - start;
  }

  // The data of all writes that took effect, in order.
  const std::vector<std::string>& applied() const { return applied_; }
  std::size_t TimesApplied(const std::string& data) const {
    return static_cast<std::size_t>(
        std::count(applied_.begin(), applied_.end(), data));
  }
  std::string guarded_data() const {
    return ParseGuarded(objects_.at(kGuarded).json).data;
  }
  std::uint64_t calls() const { return calls_; }

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
    const auto call = candidate.lease->OnTick(Clock(candidate));
    TakeOutcomes(candidate);
    if (!call) {
      return;
    }
    ++calls_;
    // The call reaches the store later, whatever becomes of its caller.
    queue_.emplace(now_ + Delay(), [this, &candidate, call = *call] {
      if (call.type == CallType::kRead) {
        Reply(candidate, call, DoRead(call));
      } else {
        ReplyPut(candidate, call, DoPut(call));
      }
    });
  }

  void WhenRunning(Candidate& candidate, std::function<void()> what) {
    queue_.emplace(now_ + Delay(), [&candidate, what = std::move(what)] {
      if (candidate.paused) {
        candidate.waiting.push_back(what);
        return;
      }
      what();
    });
  }

  void Reply(Candidate& candidate,
             const StoreCall& call,
             Result<StoredObject> result) {
    WhenRunning(candidate, [this, &candidate, id = call.id, result] {
      candidate.lease->OnRead(id, result, Clock(candidate));
      TakeOutcomes(candidate);
    });
  }

  void ReplyPut(Candidate& candidate,
                const StoreCall& call,
                Result<Version> result) {
    WhenRunning(candidate, [this, &candidate, id = call.id, result] {
      candidate.lease->OnPut(id, result, Clock(candidate));
      TakeOutcomes(candidate);
    });
  }

  void TakeOutcomes(Candidate& candidate) {
    for (auto& outcome : candidate.lease->TakeOutcomes()) {
      REQUIRE(outcome.key == kGuarded);
      candidate.outcomes.emplace(candidate.writing, outcome.result);
    }
  }

  Result<StoredObject> DoRead(const StoreCall& call) {
    if (down || Chance(faults.unavailable)) {
      return Error{ResultCode::kPlatformUnavailable, "", ""};
    }
    const auto it = objects_.find(call.key);
    return it == objects_.end() ? StoredObject() : it->second;
  }

  Result<Version> DoPut(const StoreCall& call) {
    const Error unknown{ResultCode::kPlatformOutcomeUnknown, "", ""};
    if (down || Chance(faults.unavailable)) {
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
    if (object.version != call.if_version) {
      return Error{ResultCode::kPlatformConflict, "", ""};
    }
    if (call.key == kGuarded) {
      const GuardedRecord before =
          object.version == 0 ? GuardedRecord() : ParseGuarded(object.json);
      const GuardedRecord after = ParseGuarded(call.json);
      // The heart of fencing: once a later holder wrote, no earlier one does.
      REQUIRE(after.fence >= before.fence);
      if (after.data != before.data) {
        applied_.push_back(after.data);
      }
    }
    object = StoredObject{++version_, call.json};
    return version_;
  }

  std::mt19937_64 random_;
  absl::Time now_ = absl::FromUnixSeconds(1'000'000);
  std::vector<std::unique_ptr<Candidate>> candidates_;
  std::multimap<absl::Time, std::function<void()>> queue_;
  std::map<std::string, StoredObject> objects_;
  Version version_ = 0;
  std::vector<std::string> applied_;
  std::uint64_t calls_ = 0;
};

}  // namespace gcw::lease

#endif  // GCW_TESTS_LEASE_STORE_WORLD_H_
