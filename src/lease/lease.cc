#include "gcw/lease/lease.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>

#include "src/lease/guarded_object.h"
#include "src/lease/records.h"

namespace gcw::lease {
namespace {

constexpr int kMaxDoublings = 8;

enum class Target { kLease, kGuarded };
enum class Intent { kAcquire, kRenew, kRelease };

// A write of the lease object whose outcome is not known yet.
struct PendingWrite {
  Intent intent = Intent::kAcquire;
  std::string op;
  Version if_version = 0;
  // When the first attempt began: the write may have taken effect then.
  absl::Time started;
};

// The lease object as others left it.
struct Observation {
  Version version = 0;
  LeaseRecord record;
  absl::Time since;  // First seen at this version.
};

Error FieldError(std::string field, std::string message) {
  return Error{ResultCode::kInvalidField, std::move(field), std::move(message)};
}

Status Check(const Options& options) {
  if (options.key.empty()) {
    return FieldError("key", "must not be empty");
  }
  if (options.holder.empty()) {
    return FieldError("holder", "must not be empty");
  }
  for (const std::string& key : options.guarded_keys) {
    if (key.empty() || key == options.key) {
      return FieldError("guarded_keys", "must be other objects than the lease");
    }
  }
  if (options.duration <= options.renew_interval + options.expiry_margin) {
    return FieldError("duration",
                      "must exceed renew_interval and expiry_margin together");
  }
  return OkStatus();
}

}  // namespace

struct Lease::State {
  std::optional<StoreCall> Tick(absl::Time now);
  std::optional<StoreCall> Issue(StoreCall call, Target target);
  std::optional<StoreCall> ReadLease();
  std::optional<StoreCall> PutLease();
  std::optional<StoreCall> GuardedCall();
  void BeginWrite(Intent intent, Version if_version, absl::Time now);
  void NoticeTime(absl::Time now);

  void OnLeaseRead(const StoredObject& object, absl::Time now);
  bool ResolvePending(Version version,
                      const LeaseRecord& record,
                      absl::Time now);
  void Observe(Version version, const LeaseRecord& record, absl::Time now);
  void OnLeasePut(const Result<Version>& result, absl::Time now);
  void LeaseWritten(Version version, absl::Time now);
  void OnGuardedStep(GuardedObject::Step step);
  void Lose();
  void Succeeded();
  void Failed(absl::Time now);

  bool claimed() const {
    return std::all_of(guarded.begin(), guarded.end(),
                       [](const GuardedObject& g) { return g.claimed(); });
  }
  std::string NextOp() {
    return options.holder + "#" + std::to_string(++last_op);
  }
  absl::Duration Jitter(absl::Duration duration) {
    std::uniform_real_distribution<double> factor(0.8, 1.0);
    return duration * factor(random);
  }

  Options options;
  std::mt19937_64 random;
  Stats stats;

  // The call under way.
  std::optional<std::uint64_t> call_id;
  Target call_target = Target::kLease;
  std::size_t call_guarded = 0;
  std::uint64_t last_id = 0;
  std::uint64_t last_op = 0;

  // The tenure. A token of 0 stands for none.
  Version token = 0;
  Version lease_version = 0;
  absl::Time valid_until = absl::InfinitePast();
  absl::Time next_renew = absl::InfinitePast();
  std::vector<GuardedObject> guarded;
  std::vector<WriteOutcome> outcomes;
  bool release_wanted = false;

  std::optional<PendingWrite> pending;
  bool read_needed = true;
  std::optional<Observation> observed;
  absl::Time next_observe = absl::InfinitePast();
  absl::Time not_before = absl::InfinitePast();
  absl::Time last_now = absl::InfinitePast();
  int failures = 0;
};

// A clock that went back says nothing about how long ago the last renewal was,
// nor how long the lease has been unchanged.
void Lease::State::NoticeTime(absl::Time now) {
  const bool backwards = now < last_now;
  last_now = now;
  if (backwards) {
    Lose();
    observed.reset();
    next_observe = now;
    not_before = now;
  }
  if (token != 0 && now > valid_until) {
    Lose();
  }
}

std::optional<StoreCall> Lease::State::Tick(absl::Time now) {
  NoticeTime(now);
  if (call_id || now < not_before) {
    return std::nullopt;
  }
  if (pending) {
    return read_needed ? ReadLease() : PutLease();
  }
  if (token == 0) {
    const bool due = !release_wanted && now >= next_observe;
    return due ? ReadLease() : std::nullopt;
  }
  if (release_wanted) {
    BeginWrite(Intent::kRelease, lease_version, now);
    return PutLease();
  }
  if (now >= next_renew) {
    BeginWrite(Intent::kRenew, lease_version, now);
    return PutLease();
  }
  return GuardedCall();
}

std::optional<StoreCall> Lease::State::Issue(StoreCall call, Target target) {
  call.id = ++last_id;
  call_id = call.id;
  call_target = target;
  return call;
}

std::optional<StoreCall> Lease::State::ReadLease() {
  StoreCall call;
  call.type = CallType::kRead;
  call.key = options.key;
  return Issue(std::move(call), Target::kLease);
}

std::optional<StoreCall> Lease::State::PutLease() {
  StoreCall call;
  call.type = CallType::kPut;
  call.key = options.key;
  call.if_version = pending->if_version;
  call.json = ToJson(LeaseRecord{options.holder, pending->op,
                                 pending->intent == Intent::kRelease});
  return Issue(std::move(call), Target::kLease);
}

std::optional<StoreCall> Lease::State::GuardedCall() {
  for (std::size_t i = 0; i < guarded.size(); ++i) {
    if (auto call = guarded[i].NextCall(NextOp())) {
      call_guarded = i;
      return Issue(std::move(*call), Target::kGuarded);
    }
  }
  return std::nullopt;
}

void Lease::State::BeginWrite(Intent intent,
                              Version if_version,
                              absl::Time now) {
  pending = PendingWrite{intent, NextOp(), if_version, now};
  read_needed = false;
}

void Lease::State::OnLeaseRead(const StoredObject& object, absl::Time now) {
  const LeaseRecord record =
      object.version == 0 ? LeaseRecord() : ParseLease(object.json);
  if (pending && ResolvePending(object.version, record, now)) {
    return;
  }
  Observe(object.version, record, now);
}

// Whether the object settles the write under way, or lets it be repeated.
bool Lease::State::ResolvePending(Version version,
                                  const LeaseRecord& record,
                                  absl::Time now) {
  read_needed = false;
  if (record.op == pending->op) {
    ++stats.confirmed_by_read;
    LeaseWritten(version, now);
    return true;
  }
  if (version == pending->if_version) {
    return true;
  }
  // Another version: the write can never take effect any more.
  pending.reset();
  Lose();
  return false;
}

void Lease::State::Observe(Version version,
                           const LeaseRecord& record,
                           absl::Time now) {
  if (!observed || observed->version != version) {
    observed = Observation{version, record, now};
  }
  const bool free = version == 0 || record.released ||
                    record.holder == options.holder ||
                    now - observed->since >= options.duration;
  if (free && !release_wanted) {
    BeginWrite(Intent::kAcquire, version, now);
    return;
  }
  next_observe = std::min(now + Jitter(options.renew_interval),
                          observed->since + options.duration);
}

void Lease::State::OnLeasePut(const Result<Version>& result, absl::Time now) {
  if (result.ok()) {
    LeaseWritten(result.value(), now);
    return;
  }
  const ResultCode code = result.error().code;
  read_needed = code == ResultCode::kPlatformConflict ||
                code == ResultCode::kPlatformOutcomeUnknown;
}

void Lease::State::LeaseWritten(Version version, absl::Time now) {
  const PendingWrite write = *std::exchange(pending, std::nullopt);
  lease_version = version;
  observed = Observation{version, {options.holder, write.op, false}, now};
  if (write.intent == Intent::kRelease) {
    token = 0;
    return;
  }
  valid_until = write.started + options.duration - options.expiry_margin;
  next_renew = write.started + Jitter(options.renew_interval);
  if (write.intent == Intent::kRenew) {
    ++stats.renewed;
    return;
  }
  token = version;
  ++stats.acquired;
  for (GuardedObject& object : guarded) {
    object.Begin(token);
  }
}

void Lease::State::OnGuardedStep(GuardedObject::Step step) {
  GuardedObject& object = guarded[call_guarded];
  switch (step) {
    case GuardedObject::Step::kContinue:
      return;
    case GuardedObject::Step::kWritten:
      stats.confirmed_by_read += object.confirmed_by_read() ? 1 : 0;
      outcomes.push_back({object.key(), object.version()});
      return;
    case GuardedObject::Step::kLost:
      Lose();
      return;
  }
}

void Lease::State::Lose() {
  if (token == 0) {
    return;
  }
  token = 0;
  ++stats.lost;
  next_observe = last_now;
  if (pending && pending->intent != Intent::kAcquire) {
    pending.reset();
  }
  for (GuardedObject& object : guarded) {
    if (std::optional<Error> error = object.Abandon()) {
      ++stats.refused_writes;
      outcomes.push_back({object.key(), *error});
    }
  }
}

void Lease::State::Succeeded() {
  failures = 0;
}

void Lease::State::Failed(absl::Time now) {
  const double doublings = std::min(failures, kMaxDoublings);
  ++failures;
  const absl::Duration full =
      std::min(options.backoff_max, options.backoff_min * std::exp2(doublings));
  std::uniform_real_distribution<double> jitter(0.5, 1.0);
  not_before = now + full * jitter(random);
}

Result<std::unique_ptr<Lease>> Lease::Make(const Options& options,
                                           std::uint64_t random_seed) {
  if (Status status = Check(options); !status.ok()) {
    return status.error();
  }
  auto state = std::make_unique<State>();
  state->options = options;
  state->random.seed(random_seed);
  for (const std::string& key : options.guarded_keys) {
    state->guarded.emplace_back(key);
  }
  return std::unique_ptr<Lease>(new Lease(std::move(state)));
}

Lease::Lease(std::unique_ptr<State> state) : state_(std::move(state)) {}
Lease::~Lease() = default;

std::optional<StoreCall> Lease::OnTick(absl::Time now) {
  return state_->Tick(now);
}

void Lease::OnRead(std::uint64_t id,
                   const Result<StoredObject>& result,
                   absl::Time now) {
  if (state_->call_id != id) {
    return;
  }
  state_->call_id.reset();
  state_->NoticeTime(now);
  if (!result.ok()) {
    state_->Failed(now);
    return;
  }
  state_->Succeeded();
  if (state_->call_target == Target::kLease) {
    state_->OnLeaseRead(result.value(), now);
  } else if (state_->token != 0) {
    state_->OnGuardedStep(
        state_->guarded[state_->call_guarded].OnRead(result.value()));
  }
}

void Lease::OnPut(std::uint64_t id,
                  const Result<Version>& result,
                  absl::Time now) {
  if (state_->call_id != id) {
    return;
  }
  state_->call_id.reset();
  // A conflict waits as well: the next read may be an old answer, and the two
  // must not chase each other.
  if (result.ok()) {
    state_->Succeeded();
  } else {
    state_->Failed(now);
  }
  // The answer counts before the expiry that came with it: what a write did is
  // a fact, whether the lease is still held is another.
  if (state_->call_target == Target::kLease) {
    if (state_->pending) {
      state_->OnLeasePut(result, now);
    }
  } else if (state_->token != 0) {
    state_->OnGuardedStep(state_->guarded[state_->call_guarded].OnPut(result));
  }
  state_->NoticeTime(now);
}

bool Lease::IsHeld(absl::Time now) const {
  return state_->token != 0 && state_->claimed() && now >= state_->last_now &&
         now <= state_->valid_until;
}

Version Lease::token() const {
  return state_->claimed() ? state_->token : 0;
}

std::string_view Lease::last_seen_holder() const {
  if (!state_->observed) {
    return {};
  }
  return state_->observed->record.holder;
}

Status Lease::FencedWrite(std::string_view key,
                          std::string_view json,
                          absl::Time now) {
  const auto it = std::find_if(
      state_->guarded.begin(), state_->guarded.end(),
      [&](const GuardedObject& object) { return object.key() == key; });
  if (it == state_->guarded.end()) {
    return FieldError("key", "is not guarded by this lease");
  }
  if (!IsJson(json)) {
    return FieldError("json", "is no JSON");
  }
  if (!IsHeld(now)) {
    ++state_->stats.refused_writes;
    return Error{ResultCode::kLeaseLost, "", "the lease is not held"};
  }
  if (it->busy()) {
    return Error{ResultCode::kLeaseHeld, std::string(key),
                 "a write to it is under way"};
  }
  it->Write(std::string(json));
  return OkStatus();
}

std::vector<Lease::WriteOutcome> Lease::TakeOutcomes() {
  return std::exchange(state_->outcomes, {});
}

void Lease::Release() {
  state_->release_wanted = true;
}

Stats Lease::stats() const {
  return state_->stats;
}

void ExecuteStoreCalls(Lease& lease,
                       LeaseStore& store,
                       MonotonicClock& clock,
                       int max_calls) {
  for (int i = 0; i < max_calls; ++i) {
    const std::optional<StoreCall> call = lease.OnTick(clock.Now());
    if (!call) {
      return;
    }
    if (call->type == CallType::kRead) {
      const Result<StoredObject> result = store.Read(call->key);
      lease.OnRead(call->id, result, clock.Now());
    } else {
      const Result<Version> result =
          store.PutIf(call->key, call->json, call->if_version);
      lease.OnPut(call->id, result, clock.Now());
    }
  }
}

}  // namespace gcw::lease
