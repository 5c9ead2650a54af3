#include "gcw/lease/lease.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>

#include "src/lease/guarded_object.h"
#include "src/lease/records.h"

namespace gcw::lease {
namespace {

constexpr int kMaxBackoffDoublings = 8;

enum class CallTarget { kLease, kGuardedObject };
enum class WriteType { kAcquire, kRenew, kRelease };

// A write of the lease object whose outcome is not known yet. Retried with the
// same operation id until a call shows its outcome.
struct PendingWrite {
  WriteType type = WriteType::kAcquire;
  std::string operation_id;
  Version if_version = 0;
  // When the first attempt began. The lease duration counts from then, because
  // that attempt may be the one that took effect.
  absl::Time started;
};

// The lease object as last read or written.
struct Observation {
  Version version = 0;
  LeaseRecord record;
  absl::Time first_seen;  // When this version was first seen.
};

Error InvalidField(std::string field, std::string message) {
  return Error{ResultCode::kInvalidField, std::move(field), std::move(message)};
}

Status ValidateOptions(const Options& options) {
  if (options.key.empty()) {
    return InvalidField("key", "must not be empty");
  }
  if (options.holder.empty()) {
    return InvalidField("holder", "must not be empty");
  }
  for (const std::string& key : options.guarded_keys) {
    if (key.empty() || key == options.key) {
      return InvalidField("guarded_keys",
                          "must not be empty or the key of the lease");
    }
  }
  if (options.duration <= options.renew_interval + options.expiry_margin) {
    return InvalidField(
        "duration", "must exceed renew_interval and expiry_margin together");
  }
  return OkStatus();
}

}  // namespace

struct Lease::State {
  std::optional<StoreCall> Tick(absl::Time now);
  std::optional<StoreCall> IssueCall(StoreCall call, CallTarget target);
  std::optional<StoreCall> ReadLease();
  std::optional<StoreCall> PutLease();
  std::optional<StoreCall> GuardedCall();
  void BeginLeaseWrite(WriteType type, Version if_version, absl::Time now);
  void AdvanceTime(absl::Time now);
  void ObserveEpoch(StoreEpoch answered, absl::Time now);
  bool MayHaveUnseenHolder(absl::Time now) const;

  void OnLeaseRead(const StoredObject& object, absl::Time now);
  bool ResolvePendingWrite(Version version,
                           const LeaseRecord& record,
                           absl::Time now);
  void ObserveLease(Version version, const LeaseRecord& record, absl::Time now);
  void OnLeasePut(const Result<Version>& result, absl::Time now);
  void OnLeaseWritten(Version version, absl::Time now);
  void OnGuardedAnswer(GuardedObject::AnswerEffect effect);
  void LoseLease();
  void OnCallSucceeded();
  void OnCallFailed(absl::Time now);

  // Whether all guarded objects carry the token of the current term.
  bool fenced() const {
    return std::all_of(guarded_objects.begin(), guarded_objects.end(),
                       [](const GuardedObject& g) { return g.fenced(); });
  }
  // Whether a fenced write has no outcome yet.
  bool write_pending() const {
    return std::any_of(
        guarded_objects.begin(), guarded_objects.end(),
        [](const GuardedObject& g) { return g.write_pending(); });
  }
  std::string NextOperationId() {
    return options.holder + "#" + std::to_string(++last_operation);
  }
  // Shortens `duration` by up to a fifth at random, so that the calls of
  // several members spread out.
  absl::Duration Jitter(absl::Duration duration) {
    std::uniform_real_distribution<double> factor(0.8, 1.0);
    return duration * factor(random);
  }

  Options options;
  std::mt19937_64 random;
  Stats stats;

  // The store call in flight, if any.
  std::optional<std::uint64_t> call_id;
  CallTarget call_target = CallTarget::kLease;
  std::size_t call_guarded_index = 0;  // Of a kGuardedObject call.
  std::uint64_t last_id = 0;
  std::uint64_t last_operation = 0;

  // The current term; `token` is 0 while this member is not the holder. The
  // lease is valid until `valid_until`, which is `duration - expiry_margin`
  // after the start of the last successful write.
  Version token = 0;
  Version lease_version = 0;
  absl::Time valid_until = absl::InfinitePast();
  absl::Time next_renewal = absl::InfinitePast();
  std::vector<GuardedObject> guarded_objects;
  std::vector<WriteOutcome> outcomes;
  bool release_requested = false;

  std::optional<PendingWrite> pending_write;
  // Whether the outcome of `pending_write` must be read before it is retried.
  bool read_needed = true;
  std::optional<Observation> observation;
  // The store's epoch, nullopt before the first answer, and since when it is
  // known.
  std::optional<StoreEpoch> epoch;
  absl::Time epoch_since = absl::InfinitePast();
  absl::Time next_read = absl::InfinitePast();
  // After a failed call, no call is made before this time.
  absl::Time backoff_until = absl::InfinitePast();
  absl::Time last_time = absl::InfinitePast();
  int failures = 0;  // Consecutive failed calls.
};

// Records the current time and ends the term if the lease has expired. After
// the clock has gone backwards, neither the age of the last renewal nor the
// time for which another holder's lease has been unchanged is known: the term
// ends and the observation starts anew.
void Lease::State::AdvanceTime(absl::Time now) {
  const bool backwards = now < last_time;
  last_time = now;
  if (backwards) {
    LoseLease();
    observation.reset();
    epoch_since = now;
    next_read = now;
    backoff_until = now;
  }
  if (token != 0 && now > valid_until) {
    LoseLease();
  }
}

// Records the epoch of an answer. If the store was restored, it may have lost
// this member's lease, and the lease of another member that this one does not
// know of: the term ends and the observation starts anew.
void Lease::State::ObserveEpoch(StoreEpoch answered, absl::Time now) {
  if (epoch && answered <= *epoch) {
    return;
  }
  const bool restored = epoch.has_value();
  epoch = answered;
  epoch_since = now;
  if (restored) {
    LoseLease();
    pending_write.reset();
    observation.reset();
    next_read = now;
  }
}

// Whether another member may hold a lease that the store has lost in a restore.
// Such a lease expires within the lease duration.
bool Lease::State::MayHaveUnseenHolder(absl::Time now) const {
  return epoch.value_or(0) != 0 && now - epoch_since < options.duration;
}

std::optional<StoreCall> Lease::State::Tick(absl::Time now) {
  AdvanceTime(now);
  if (call_id || now < backoff_until) {
    return std::nullopt;
  }
  if (pending_write) {
    return read_needed ? ReadLease() : PutLease();
  }
  if (token == 0) {
    const bool due = !release_requested && now >= next_read;
    return due ? ReadLease() : std::nullopt;
  }
  if (release_requested) {
    // Writes in progress end first, so that each has an outcome. If they don't
    // end, the lease expires.
    if (write_pending()) {
      return GuardedCall();
    }
    BeginLeaseWrite(WriteType::kRelease, lease_version, now);
    return PutLease();
  }
  if (now >= next_renewal) {
    BeginLeaseWrite(WriteType::kRenew, lease_version, now);
    return PutLease();
  }
  return GuardedCall();
}

std::optional<StoreCall> Lease::State::IssueCall(StoreCall call,
                                                 CallTarget target) {
  call.id = ++last_id;
  call_id = call.id;
  call_target = target;
  return call;
}

std::optional<StoreCall> Lease::State::ReadLease() {
  StoreCall call;
  call.type = CallType::kRead;
  call.key = options.key;
  return IssueCall(std::move(call), CallTarget::kLease);
}

std::optional<StoreCall> Lease::State::PutLease() {
  StoreCall call;
  call.type = CallType::kPut;
  call.key = options.key;
  call.if_version = pending_write->if_version;
  call.json = ToJson(LeaseRecord{options.holder, pending_write->operation_id,
                                 pending_write->type == WriteType::kRelease});
  return IssueCall(std::move(call), CallTarget::kLease);
}

std::optional<StoreCall> Lease::State::GuardedCall() {
  for (std::size_t i = 0; i < guarded_objects.size(); ++i) {
    if (auto call = guarded_objects[i].NextCall(NextOperationId())) {
      call_guarded_index = i;
      return IssueCall(std::move(*call), CallTarget::kGuardedObject);
    }
  }
  return std::nullopt;
}

void Lease::State::BeginLeaseWrite(WriteType type,
                                   Version if_version,
                                   absl::Time now) {
  pending_write = PendingWrite{type, NextOperationId(), if_version, now};
  read_needed = false;
}

void Lease::State::OnLeaseRead(const StoredObject& object, absl::Time now) {
  const LeaseRecord record =
      object.version == 0 ? LeaseRecord() : ParseLease(object.json);
  if (pending_write && ResolvePendingWrite(object.version, record, now)) {
    return;
  }
  ObserveLease(object.version, record, now);
}

// Compares the lease object as read with the pending write. Returns true if the
// write has taken effect or may still be retried, false if it can no longer
// take effect because the object has another version.
bool Lease::State::ResolvePendingWrite(Version version,
                                       const LeaseRecord& record,
                                       absl::Time now) {
  read_needed = false;
  if (record.op == pending_write->operation_id) {
    ++stats.confirmed_by_read;
    OnLeaseWritten(version, now);
    return true;
  }
  if (version == pending_write->if_version) {
    return true;
  }
  // The lease has been written since, so the pending write can never take
  // effect.
  pending_write.reset();
  LoseLease();
  return false;
}

// Records the lease as read by a member that does not hold it, and starts to
// acquire it if it is free or names this member as its holder, and no holder
// can be unseen, or if it has been unchanged for the lease duration.
void Lease::State::ObserveLease(Version version,
                                const LeaseRecord& record,
                                absl::Time now) {
  if (!observation || observation->version != version) {
    observation = Observation{version, record, now};
  }
  const bool free =
      version == 0 || record.released || record.holder == options.holder;
  const bool available = (free && !MayHaveUnseenHolder(now)) ||
                         now - observation->first_seen >= options.duration;
  if (available && !release_requested) {
    BeginLeaseWrite(WriteType::kAcquire, version, now);
    return;
  }
  next_read = std::min(now + Jitter(options.renew_interval),
                       observation->first_seen + options.duration);
}

void Lease::State::OnLeasePut(const Result<Version>& result, absl::Time now) {
  if (result.ok()) {
    OnLeaseWritten(result.value(), now);
    return;
  }
  const ResultCode code = result.error().code;
  read_needed = code == ResultCode::kPlatformConflict ||
                code == ResultCode::kPlatformOutcomeUnknown;
}

void Lease::State::OnLeaseWritten(Version version, absl::Time now) {
  const PendingWrite write = *std::exchange(pending_write, std::nullopt);
  lease_version = version;
  observation =
      Observation{version, {options.holder, write.operation_id, false}, now};
  if (write.type == WriteType::kRelease) {
    token = 0;
    return;
  }
  valid_until = write.started + options.duration - options.expiry_margin;
  next_renewal = write.started + Jitter(options.renew_interval);
  if (write.type == WriteType::kRenew) {
    ++stats.renewed;
    return;
  }
  token = version;
  ++stats.acquired;
  for (GuardedObject& object : guarded_objects) {
    object.BeginTerm(token);
  }
}

void Lease::State::OnGuardedAnswer(GuardedObject::AnswerEffect effect) {
  GuardedObject& object = guarded_objects[call_guarded_index];
  switch (effect) {
    case GuardedObject::AnswerEffect::kNone:
      return;
    case GuardedObject::AnswerEffect::kWriteCompleted:
      stats.confirmed_by_read += object.confirmed_by_read() ? 1 : 0;
      outcomes.push_back({object.key(), object.version()});
      return;
    case GuardedObject::AnswerEffect::kSuperseded:
      LoseLease();
      return;
  }
}

void Lease::State::LoseLease() {
  if (token == 0) {
    return;
  }
  token = 0;
  ++stats.lost;
  next_read = last_time;
  if (pending_write && pending_write->type != WriteType::kAcquire) {
    pending_write.reset();
  }
  for (GuardedObject& object : guarded_objects) {
    if (std::optional<Error> error = object.EndTerm()) {
      ++stats.refused_writes;
      outcomes.push_back({object.key(), *error});
    }
  }
}

void Lease::State::OnCallSucceeded() {
  failures = 0;
}

void Lease::State::OnCallFailed(absl::Time now) {
  const double doublings = std::min(failures, kMaxBackoffDoublings);
  ++failures;
  const absl::Duration backoff =
      std::min(options.backoff_max, options.backoff_min * std::exp2(doublings));
  std::uniform_real_distribution<double> jitter(0.5, 1.0);
  backoff_until = now + backoff * jitter(random);
}

Result<std::unique_ptr<Lease>> Lease::Make(const Options& options,
                                           std::uint64_t random_seed) {
  if (Status status = ValidateOptions(options); !status.ok()) {
    return status.error();
  }
  auto state = std::make_unique<State>();
  state->options = options;
  state->random.seed(random_seed);
  for (const std::string& key : options.guarded_keys) {
    state->guarded_objects.emplace_back(key);
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
  state_->AdvanceTime(now);
  if (!result.ok()) {
    state_->OnCallFailed(now);
    return;
  }
  state_->OnCallSucceeded();
  state_->ObserveEpoch(result.value().epoch, now);
  if (state_->call_target == CallTarget::kLease) {
    state_->OnLeaseRead(result.value(), now);
  } else if (state_->token != 0) {
    state_->OnGuardedAnswer(
        state_->guarded_objects[state_->call_guarded_index].OnRead(
            result.value()));
  }
}

void Lease::OnPut(std::uint64_t id,
                  const Result<Version>& result,
                  absl::Time now) {
  if (state_->call_id != id) {
    return;
  }
  state_->call_id.reset();
  // A conflict backs off as well: the read that follows it may return a stale
  // version, and without a delay the two calls would alternate in a tight loop.
  if (result.ok()) {
    state_->OnCallSucceeded();
  } else {
    state_->OnCallFailed(now);
  }
  // The answer is processed before the checks that may end the term, so that a
  // write that took effect is reported as such even then.
  if (state_->call_target == CallTarget::kLease) {
    if (state_->pending_write) {
      state_->OnLeasePut(result, now);
    }
  } else if (state_->token != 0) {
    state_->OnGuardedAnswer(
        state_->guarded_objects[state_->call_guarded_index].OnPut(result));
  }
  if (result.ok()) {
    state_->ObserveEpoch(EpochOf(result.value()), now);
  }
  state_->AdvanceTime(now);
}

bool Lease::IsHeld(absl::Time now) const {
  return state_->token != 0 && state_->fenced() && now >= state_->last_time &&
         now <= state_->valid_until;
}

Version Lease::token() const {
  return state_->fenced() ? state_->token : 0;
}

std::string_view Lease::last_seen_holder() const {
  if (!state_->observation) {
    return {};
  }
  return state_->observation->record.holder;
}

Status Lease::FencedWrite(std::string_view key,
                          std::string_view json,
                          absl::Time now) {
  const auto it = std::find_if(
      state_->guarded_objects.begin(), state_->guarded_objects.end(),
      [&](const GuardedObject& object) { return object.key() == key; });
  if (it == state_->guarded_objects.end()) {
    return InvalidField("key", "is not guarded by this lease");
  }
  if (!IsJson(json)) {
    return InvalidField("json", "is not valid JSON");
  }
  if (!IsHeld(now) || state_->release_requested) {
    ++state_->stats.refused_writes;
    return Error{ResultCode::kLeaseLost, "",
                 "the lease is not held by this member or is being released"};
  }
  if (it->write_pending()) {
    return Error{ResultCode::kLeaseHeld, std::string(key),
                 "an earlier write to this object is still in progress"};
  }
  it->Write(std::string(json));
  return OkStatus();
}

std::vector<Lease::WriteOutcome> Lease::TakeOutcomes() {
  return std::exchange(state_->outcomes, {});
}

void Lease::Release() {
  state_->release_requested = true;
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
