#include "gcw/relay/versioned_relay.h"

#include <algorithm>
#include <map>
#include <numeric>
#include <random>
#include <utility>

#include "src/relay/call_schedule.h"
#include "src/relay/neighbours.h"
#include "src/relay/object_store.h"

namespace gcw::relay {
namespace {

// After a request to a peer, no further request is sent for this time, unless
// an update from a peer is applied earlier.
constexpr absl::Duration kRequestTimeout = absl::Milliseconds(500);
// A neighbour that normally learns of changes without this daemon is sent a
// change after this delay, unless a message from the neighbour has shown by
// then that it has the change.
constexpr absl::Duration kPushDelay = absl::Milliseconds(250);
// When the digest of a peer shows a newer revision, this daemon waits this long
// for its own watch or a push to deliver the changes before it requests them.
constexpr absl::Duration kRequestDelay = absl::Milliseconds(150);
// Interval at which a daemon without any state sends digests to its neighbours
// in turn, in order to get the state from one of them.
constexpr absl::Duration kBootstrapDigestInterval = absl::Milliseconds(150);
// Larger changes are announced by a digest instead of being pushed, so that
// each daemon fetches them once. If pushed, they would reach a daemon from
// several neighbours.
constexpr std::size_t kMaxPushBytes = 4096;

// Returns the approximate size of an encoded object.
std::size_t ApproximateBytes(const Object& object) {
  // Covers the numbers and the CBOR headers.
  constexpr std::size_t kFixedBytes = 32;
  return kFixedBytes + object.key.size() + object.json.size();
}

// Splits an update into messages with about kMaxPartBytes of objects at most.
std::vector<Update> SplitIntoParts(Update complete_update) {
  std::vector<Object> objects = std::exchange(complete_update.objects, {});
  std::vector<Update> parts(1, complete_update);
  std::size_t bytes = 0;
  for (Object& object : objects) {
    const std::size_t size = ApproximateBytes(object);
    if (bytes + size > kMaxPartBytes && !parts.back().objects.empty()) {
      parts.push_back(complete_update);
      bytes = 0;
    }
    bytes += size;
    parts.back().objects.push_back(std::move(object));
  }
  for (std::size_t i = 0; i < parts.size(); ++i) {
    parts[i].part = static_cast<std::uint32_t>(i);
    parts[i].parts = static_cast<std::uint32_t>(parts.size());
  }
  return parts;
}

std::size_t ApproximateBytes(const Update& update) {
  return std::accumulate(update.objects.begin(), update.objects.end(),
                         std::size_t{0}, [](std::size_t sum, const Object& o) {
                           return sum + ApproximateBytes(o);
                         });
}

// What this daemon knows of a live peer.
struct PeerState {
  // The revision that the peer last reported, or a later one that this daemon
  // has sent to the peer. Updates are not acknowledged; if one is lost, the
  // next digest of the peer corrects this value.
  std::optional<Version> revision;
  // When to send the peer the changes after `delayed_push_since`, unless it has
  // them by then.
  absl::Time delayed_push_time = absl::InfiniteFuture();
  Version delayed_push_since = 0;
  // The received parts of an update that is not complete yet.
  std::vector<Update> parts;
};

}  // namespace

struct VersionedRelay::State {
  State(const Options& o, absl::Time now, std::uint64_t seed)
      : options(o),
        random(seed),
        store(o.max_tombstones),
        schedule(options, now, random),
        first_digest_time(now + o.initial_peer_delay) {
    DrawAgeLimit();
  }

  void Tick(absl::Time now, Actions& actions);
  void Receive(const std::string& peer,
               const Digest& digest,
               absl::Time now,
               Actions& actions);
  void Receive(const std::string& peer,
               const Request& request,
               absl::Time now,
               Actions& actions);
  void Receive(const std::string& peer,
               const Update& update,
               absl::Time now,
               Actions& actions);
  void ApplyAssembledUpdate(const std::string& peer,
                            const Update& update,
                            absl::Time now,
                            Actions& actions);

  void SendDigest(absl::Time now, Actions& actions);
  void SendChanges(const std::string& peer, Version since, Actions& actions);
  void SendRequest(const std::string& peer, absl::Time now, Actions& actions);
  void PushToNeighbours(Version previous_revision,
                        const std::string& source,
                        absl::Time now,
                        Actions& actions);
  void SendDelayedPushes(absl::Time now, Actions& actions);
  void SendDelayedRequest(absl::Time now, Actions& actions);
  void CallPlatform(absl::Time now, Actions& actions);
  void FinishMerge(MergeResult merge,
                   Version previous_revision,
                   absl::Time now,
                   Actions& actions);
  void DrawAgeLimit();
  void OnConfirmedByPlatform(absl::Time now, Actions& actions);
  void OnConfirmedByPeer(const Message& message,
                         absl::Duration age,
                         absl::Time now);
  bool IsUnconfirmed(absl::Time now) const;

  Digest digest() const { return {store.revision(), store.hash()}; }

  const Options options;
  std::mt19937_64 random;
  ObjectStore store;
  CallSchedule schedule;
  Roles roles;
  std::map<std::string, PeerState, std::less<>> peers;
  std::size_t next_digest_index = 0;
  absl::Time next_digest_time = absl::InfinitePast();
  // A daemon without any state sends no digest before this time.
  absl::Time first_digest_time;
  // No further request is sent before this time, unless an update from a peer
  // is applied earlier.
  absl::Time request_deadline = absl::InfinitePast();
  // When to request changes from `delayed_request_peer`, unless another source
  // has delivered them by then.
  absl::Time delayed_request_time = absl::InfiniteFuture();
  std::string delayed_request_peer;
  // When the state was last known to be equal to the platform's.
  absl::Time confirmed = absl::InfinitePast();
  // The age of `confirmed` from which on this daemon calls the platform, even
  // if it is no watcher.
  absl::Duration age_limit = absl::InfiniteDuration();
  absl::Time dependents_confirmed = absl::InfinitePast();
  std::uint64_t stale_answers = 0;
  std::uint64_t update_gaps = 0;
  std::uint64_t hash_mismatches = 0;
  bool platform_behind = false;
};

void VersionedRelay::State::Tick(absl::Time now, Actions& actions) {
  // A daemon without any state first gives the platform some time to answer
  // before it contacts its peers.
  if (now >= next_digest_time &&
      (store.has_state() || now >= first_digest_time)) {
    SendDigest(now, actions);
  }
  SendDelayedPushes(now, actions);
  SendDelayedRequest(now, actions);
  CallPlatform(now, actions);
}

void VersionedRelay::State::SendDelayedRequest(absl::Time now,
                                               Actions& actions) {
  if (now < delayed_request_time) {
    return;
  }
  delayed_request_time = absl::InfiniteFuture();
  const auto peer = peers.find(delayed_request_peer);
  if (peer != peers.end() &&
      peer->second.revision.value_or(0) > store.revision() &&
      now >= request_deadline) {
    SendRequest(delayed_request_peer, now, actions);
  }
}

void VersionedRelay::State::CallPlatform(absl::Time now, Actions& actions) {
  CallSchedule::CallInputs inputs;
  inputs.call_needed = roles.watcher || !store.has_state();
  inputs.unconfirmed = IsUnconfirmed(now);
  inputs.has_state = store.has_state();
  inputs.after = store.complete_version();
  actions.call = schedule.NextCall(inputs, now);
}

void VersionedRelay::State::DrawAgeLimit() {
  std::uniform_real_distribution<double> part(1 - kMaxAgeJitter, 1);
  age_limit = options.max_state_age * part(random);
}

bool VersionedRelay::State::IsUnconfirmed(absl::Time now) const {
  return store.has_state() && !roles.watcher && now - confirmed > age_limit;
}

// The platform's answer confirmed the state. The daemons that depend on this
// watcher learn it at once: without news, each would soon call the platform.
void VersionedRelay::State::OnConfirmedByPlatform(absl::Time now,
                                                  Actions& actions) {
  confirmed = now;
  DrawAgeLimit();
  if (now - dependents_confirmed < options.confirmation_interval) {
    return;
  }
  dependents_confirmed = now;
  for (const std::string& name : roles.dependents) {
    actions.messages.push_back({name, digest()});
  }
}

// The sender's confirmation holds here only if this daemon has all changes that
// the sender has.
void VersionedRelay::State::OnConfirmedByPeer(const Message& message,
                                              absl::Duration age,
                                              absl::Time now) {
  if (store.has_state() && store.revision() >= StateRevisionOf(message)) {
    confirmed = std::max(confirmed, now - age);
  }
}

void VersionedRelay::State::SendDigest(absl::Time now, Actions& actions) {
  std::uniform_real_distribution<double> jitter(0.9, 1.1);
  const absl::Duration interval =
      store.has_state() ? options.digest_interval : kBootstrapDigestInterval;
  next_digest_time = now + interval * jitter(random);
  if (roles.neighbours.empty()) {
    return;
  }
  const std::string& peer =
      roles.neighbours[next_digest_index++ % roles.neighbours.size()];
  actions.messages.push_back({peer, digest()});
}

void VersionedRelay::State::SendChanges(const std::string& peer,
                                        Version since,
                                        Actions& actions) {
  for (Update& part : SplitIntoParts(store.ChangesSince(since))) {
    actions.messages.push_back({peer, std::move(part)});
  }
  const auto it = peers.find(peer);
  if (it != peers.end()) {
    it->second.revision = store.revision();
  }
}

void VersionedRelay::State::SendRequest(const std::string& peer,
                                        absl::Time now,
                                        Actions& actions) {
  request_deadline = now + kRequestTimeout;
  actions.messages.push_back({peer, Request{store.revision()}});
}

// Passes a change on to the neighbours. `previous_revision` is the revision of
// this daemon before the change; neighbours whose revision is unknown are
// assumed to be at that revision as well. A neighbour at a lower revision
// detects the gap and requests the missing changes. Neighbours that normally
// learn of changes without this daemon get a digest now and the change only
// after kPushDelay: in a small deployment all daemons watch the platform, and
// pushing each change to each neighbour would waste bandwidth.
void VersionedRelay::State::PushToNeighbours(Version previous_revision,
                                             const std::string& source,
                                             absl::Time now,
                                             Actions& actions) {
  for (const std::string& name : roles.neighbours) {
    PeerState& peer = peers[name];
    const Version since = peer.revision.value_or(previous_revision);
    if (!roles.independently_informed.contains(name)) {
      if (name == source || since >= store.revision()) {
        continue;
      }
      if (ApproximateBytes(store.ChangesSince(since)) > kMaxPushBytes) {
        actions.messages.push_back({name, digest()});
      } else {
        SendChanges(name, since, actions);
      }
      continue;
    }
    // The digest shows that this daemon has the change, so that the neighbour
    // does not send the change to this daemon.
    actions.messages.push_back({name, digest()});
    if (since < store.revision() &&
        peer.delayed_push_time == absl::InfiniteFuture()) {
      peer.delayed_push_time = now + kPushDelay;
      peer.delayed_push_since = since;
    }
  }
}

void VersionedRelay::State::SendDelayedPushes(absl::Time now,
                                              Actions& actions) {
  for (const std::string& name : roles.neighbours) {
    PeerState& peer = peers[name];
    if (now < peer.delayed_push_time) {
      continue;
    }
    peer.delayed_push_time = absl::InfiniteFuture();
    const Version since = peer.revision.value_or(peer.delayed_push_since);
    if (since < store.revision()) {
      SendChanges(name, since, actions);
    }
  }
}

void VersionedRelay::State::Receive(const std::string& peer,
                                    const Digest& peer_digest,
                                    absl::Time now,
                                    Actions& actions) {
  peers[peer].revision = peer_digest.revision;
  if (peer_digest.revision > store.revision()) {
    if (store.has_state()) {
      delayed_request_time =
          std::min(delayed_request_time, now + kRequestDelay);
      delayed_request_peer = peer;
    } else if (now >= request_deadline) {
      SendRequest(peer, now, actions);
    }
    return;
  }
  if (!store.has_state()) {
    return;
  }
  // A peer at revision 0 may have no state yet. It is sent an update even if
  // this daemon is at revision 0 as well, so that the peer learns that the
  // configuration is empty.
  if (peer_digest.revision < store.revision() || peer_digest.revision == 0) {
    SendChanges(peer, peer_digest.revision, actions);
    return;
  }
  if (peer_digest.hash != store.hash()) {
    ++hash_mismatches;
    // Makes a list call due soon, even if this daemon is no watcher.
    schedule.RequireList();
    schedule.ExpectRevision(store.complete_version() + 1, now);
  }
}

void VersionedRelay::State::Receive(const std::string& peer,
                                    const Request& request,
                                    absl::Time /*now*/,
                                    Actions& actions) {
  peers[peer].revision = request.since;
  if (store.has_state() && request.since < store.revision()) {
    SendChanges(peer, request.since, actions);
    return;
  }
  actions.messages.push_back({peer, digest()});
}

// Collects the parts of an update and applies it when all have arrived. Parts
// arrive in order on one stream. A part that does not continue the update
// discards the collected parts; the next digest starts the transfer again.
void VersionedRelay::State::Receive(const std::string& peer,
                                    const Update& update,
                                    absl::Time now,
                                    Actions& actions) {
  std::vector<Update>& parts = peers[peer].parts;
  if (update.part == 0) {
    parts.clear();
  }
  const bool continues_update =
      update.part == parts.size() &&
      (parts.empty() ||
       (parts[0].to == update.to && parts[0].from == update.from &&
        parts[0].full == update.full && parts[0].parts == update.parts));
  if (!continues_update) {
    parts.clear();
    return;
  }
  parts.push_back(update);
  if (parts.size() < update.parts) {
    return;
  }
  Update complete_update = std::move(parts[0]);
  for (std::size_t i = 1; i < parts.size(); ++i) {
    std::move(parts[i].objects.begin(), parts[i].objects.end(),
              std::back_inserter(complete_update.objects));
  }
  parts.clear();
  ApplyAssembledUpdate(peer, complete_update, now, actions);
}

void VersionedRelay::State::ApplyAssembledUpdate(const std::string& peer,
                                                 const Update& update,
                                                 absl::Time now,
                                                 Actions& actions) {
  std::optional<Version>& peer_revision = peers[peer].revision;
  peer_revision = std::max(peer_revision.value_or(0), update.to);
  const Version previous_revision = store.revision();
  switch (store.ApplyUpdate(update)) {
    case MergeResult::kNoChange:
      break;
    case MergeResult::kGap:
      ++update_gaps;
      if (now >= request_deadline) {
        SendRequest(peer, now, actions);
      }
      break;
    case MergeResult::kPeerOutdated:
      actions.changed = true;
      peer_revision = update.to;
      PushToNeighbours(previous_revision, peer, now, actions);
      SendChanges(peer, update.to, actions);
      break;
    case MergeResult::kApplied:
      actions.changed = true;
      request_deadline = absl::InfinitePast();
      PushToNeighbours(previous_revision, peer, now, actions);
      schedule.OnPeerProgress(update.to, now);
      break;
  }
}

void VersionedRelay::State::FinishMerge(MergeResult merge,
                                        Version previous_revision,
                                        absl::Time now,
                                        Actions& actions) {
  if (merge == MergeResult::kApplied) {
    actions.changed = true;
    PushToNeighbours(previous_revision, "", now, actions);
  }
}

Result<std::unique_ptr<VersionedRelay>> VersionedRelay::Make(
    const Options& options,
    absl::Time now,
    std::uint64_t random_seed) {
  if (options.name.empty()) {
    return Error{ResultCode::kInvalidField, "name", "must not be empty"};
  }
  if (options.zone.empty()) {
    return Error{ResultCode::kInvalidField, "zone", "must not be empty"};
  }
  return std::unique_ptr<VersionedRelay>(
      new VersionedRelay(std::make_unique<State>(options, now, random_seed)));
}

VersionedRelay::VersionedRelay(std::unique_ptr<State> state)
    : state_(std::move(state)) {
  state_->roles = AssignRoles(state_->options, {});
}
VersionedRelay::~VersionedRelay() = default;

void VersionedRelay::SetPeers(std::span<const Peer> peers, absl::Time now) {
  const bool had_neighbours = !state_->roles.neighbours.empty();
  state_->roles = AssignRoles(state_->options, peers);
  std::map<std::string, PeerState, std::less<>> retained_peers;
  for (const Peer& peer : peers) {
    const auto it = state_->peers.find(peer.name);
    retained_peers[peer.name] =
        it == state_->peers.end() ? PeerState() : std::move(it->second);
  }
  state_->peers = std::move(retained_peers);
  if (!had_neighbours) {
    state_->next_digest_time = now;
  }
}

Actions VersionedRelay::OnTick(absl::Time now) {
  Actions actions;
  state_->Tick(now, actions);
  return actions;
}

Actions VersionedRelay::OnMessage(const std::string& peer,
                                  const Message& message,
                                  absl::Duration age,
                                  absl::Time now) {
  Actions actions;
  // Replies depend on the PeerState of the sender. It exists for live members
  // only, so messages from other senders are ignored.
  if (!state_->peers.contains(peer)) {
    return actions;
  }
  std::visit([&](const auto& m) { state_->Receive(peer, m, now, actions); },
             message);
  state_->OnConfirmedByPeer(message, age, now);
  return actions;
}

Actions VersionedRelay::OnList(std::uint64_t id,
                               Version revision,
                               std::span<const Object> objects,
                               absl::Time now) {
  Actions actions;
  const auto call = state_->schedule.FinishCall(id);
  if (!call || call->type != CallType::kList) {
    ++state_->stale_answers;
    return actions;
  }
  state_->schedule.OnSuccess(*call, true, now);
  state_->platform_behind = revision < state_->store.complete_version();
  if (state_->platform_behind) {
    ++state_->stale_answers;
  }
  const Version previous_revision = state_->store.revision();
  const MergeResult merge = state_->store.ApplyList(revision, objects);
  state_->FinishMerge(merge, previous_revision, now, actions);
  if (revision >= previous_revision) {
    state_->OnConfirmedByPlatform(now, actions);
  }
  state_->CallPlatform(now, actions);
  return actions;
}

Actions VersionedRelay::OnWatch(std::uint64_t id,
                                Version revision,
                                std::span<const Object> events,
                                absl::Time now) {
  Actions actions;
  const auto call = state_->schedule.FinishCall(id);
  if (!call || call->type != CallType::kWatch) {
    ++state_->stale_answers;
    return actions;
  }
  state_->schedule.OnSuccess(*call, !events.empty(), now);
  state_->platform_behind = revision < call->after;
  if (state_->platform_behind) {
    ++state_->stale_answers;
  }
  const Version previous_revision = state_->store.revision();
  const MergeResult merge =
      state_->store.ApplyWatch(call->after, revision, events);
  state_->FinishMerge(merge, previous_revision, now, actions);
  if (revision >= previous_revision) {
    state_->OnConfirmedByPlatform(now, actions);
  }
  state_->CallPlatform(now, actions);
  return actions;
}

Actions VersionedRelay::OnCallFailed(std::uint64_t id,
                                     ResultCode code,
                                     absl::Time now) {
  if (state_->schedule.FinishCall(id)) {
    state_->schedule.OnFailure(code, now);
  } else {
    ++state_->stale_answers;
  }
  return {};
}

Actions VersionedRelay::OnRevisionHint(Version revision, absl::Time now) {
  Actions actions;
  if (revision > state_->store.complete_version()) {
    state_->schedule.ExpectRevision(revision, now);
    state_->CallPlatform(now, actions);
  }
  return actions;
}

Actions VersionedRelay::RequireVersion(Version version, absl::Time now) {
  Actions actions;
  if (version > state_->store.complete_version()) {
    state_->schedule.RequireVersion(version, now);
    state_->CallPlatform(now, actions);
  }
  return actions;
}

bool VersionedRelay::Expects(std::uint64_t id) const {
  return state_->schedule.IsActive(id);
}

bool VersionedRelay::WasSuperseded(std::uint64_t id) const {
  return state_->schedule.WasSuperseded(id);
}

Version VersionedRelay::complete_version() const {
  return state_->store.complete_version();
}

Version VersionedRelay::revision() const {
  return state_->store.revision();
}

std::vector<Object> VersionedRelay::objects() const {
  return state_->store.LiveObjects();
}

const Object* VersionedRelay::Find(std::string_view key) const {
  return state_->store.Find(key);
}

absl::Time VersionedRelay::confirmed() const {
  return state_->confirmed;
}

bool VersionedRelay::is_watcher() const {
  return state_->roles.watcher;
}

std::vector<std::string> VersionedRelay::neighbours() const {
  return state_->roles.neighbours;
}

Digest VersionedRelay::digest() const {
  return state_->digest();
}

Stats VersionedRelay::stats() const {
  Stats stats;
  stats.platform_calls = state_->schedule.calls();
  stats.platform_errors = state_->schedule.errors();
  stats.call_timeouts = state_->schedule.timeouts();
  stats.stale_answers = state_->stale_answers;
  stats.update_gaps = state_->update_gaps;
  stats.hash_mismatches = state_->hash_mismatches;
  stats.watcher = state_->roles.watcher;
  stats.platform_behind = state_->platform_behind;
  return stats;
}

std::size_t VersionedRelay::tombstone_count() const {
  return state_->store.tombstone_count();
}

}  // namespace gcw::relay
