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

// A request that brought nothing after this time may be repeated.
constexpr absl::Duration kRequestPatience = absl::Milliseconds(500);
// A daemon without any state asks one neighbour after another.
// A neighbour that should hear of a change by itself is sent it after this time
// unless it has shown that it knows.
constexpr absl::Duration kPushDelay = absl::Milliseconds(250);
// A daemon that hears from a peer of a revision waits this long for its own
// watch, or a push, to bring it before it asks.
constexpr absl::Duration kRequestDelay = absl::Milliseconds(150);
constexpr absl::Duration kBootstrapInterval = absl::Milliseconds(150);
// A larger change is announced, so that each daemon fetches it once; sent to
// each neighbour unasked, it would arrive there from several.
constexpr std::size_t kMaxPushBytes = 4096;

std::size_t SizeOf(const Object& object) {
  constexpr std::size_t kFixedBytes = 32;
  return kFixedBytes + object.key.size() + object.json.size();
}

// Cuts `whole` into messages of bounded size.
std::vector<Update> Split(Update whole) {
  std::vector<Object> objects = std::exchange(whole.objects, {});
  std::vector<Update> parts(1, whole);
  std::size_t bytes = 0;
  for (Object& object : objects) {
    const std::size_t size = SizeOf(object);
    if (bytes + size > kMaxPartBytes && !parts.back().objects.empty()) {
      parts.push_back(whole);
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

std::size_t SizeOf(const Update& update) {
  return std::accumulate(
      update.objects.begin(), update.objects.end(), std::size_t{0},
      [](std::size_t sum, const Object& o) { return sum + SizeOf(o); });
}

// What is known of a live peer.
struct PeerState {
  // What it said it holds, or what it was sent since. Sends are not
  // acknowledged: its next digest corrects this.
  std::optional<Version> revision;
  // When to send it the changes after `push_since`, if it still needs them.
  absl::Time push_at = absl::InfiniteFuture();
  Version push_since = 0;
  std::vector<Update> parts;  // Of an update that is not whole yet.
};

}  // namespace

struct VersionedRelay::State {
  State(const Options& o, absl::Time now, std::uint64_t seed)
      : options(o),
        random(seed),
        store(o.max_tombstones),
        schedule(options, now, random),
        ask_peers_at(now + o.initial_peer_delay) {}

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
  void ApplyWhole(const std::string& peer,
                  const Update& update,
                  absl::Time now,
                  Actions& actions);

  void SendDigest(absl::Time now, Actions& actions);
  void SendChanges(const std::string& peer, Version since, Actions& actions);
  void SendRequest(const std::string& peer, absl::Time now, Actions& actions);
  void PushToNeighbours(Version before,
                        const std::string& source,
                        absl::Time now,
                        Actions& actions);
  void PushLate(absl::Time now, Actions& actions);
  void RequestLate(absl::Time now, Actions& actions);
  void CallPlatform(absl::Time now, Actions& actions);
  void FinishMerge(Merge merge,
                   Version before,
                   absl::Time now,
                   Actions& actions);

  Digest digest() const { return {store.revision(), store.hash()}; }

  const Options options;
  std::mt19937_64 random;
  ObjectStore store;
  CallSchedule schedule;
  Roles roles;
  std::map<std::string, PeerState, std::less<>> peers;
  std::size_t digest_turn = 0;
  absl::Time next_digest = absl::InfinitePast();
  absl::Time ask_peers_at;
  absl::Time request_until = absl::InfinitePast();
  // A request that is made only if nothing else brings the change.
  absl::Time request_at = absl::InfiniteFuture();
  std::string request_peer;
  std::uint64_t stale_answers = 0;
  std::uint64_t update_gaps = 0;
  std::uint64_t hash_mismatches = 0;
  bool platform_behind = false;
};

void VersionedRelay::State::Tick(absl::Time now, Actions& actions) {
  // One that asks the platform first leaves its peers alone meanwhile.
  if (now >= next_digest && (store.known() || now >= ask_peers_at)) {
    SendDigest(now, actions);
  }
  PushLate(now, actions);
  RequestLate(now, actions);
  CallPlatform(now, actions);
}

void VersionedRelay::State::RequestLate(absl::Time now, Actions& actions) {
  if (now < request_at) {
    return;
  }
  request_at = absl::InfiniteFuture();
  const auto peer = peers.find(request_peer);
  if (peer != peers.end() &&
      peer->second.revision.value_or(0) > store.revision() &&
      now >= request_until) {
    SendRequest(request_peer, now, actions);
  }
}

void VersionedRelay::State::CallPlatform(absl::Time now, Actions& actions) {
  CallSchedule::Wish wish;
  wish.wanted = roles.watcher || !store.known();
  wish.known = store.known();
  wish.after = store.complete();
  actions.call = schedule.Next(wish, now);
}

void VersionedRelay::State::SendDigest(absl::Time now, Actions& actions) {
  std::uniform_real_distribution<double> jitter(0.9, 1.1);
  const absl::Duration interval =
      store.known() ? options.digest_interval : kBootstrapInterval;
  next_digest = now + interval * jitter(random);
  if (roles.neighbours.empty()) {
    return;
  }
  const std::string& peer =
      roles.neighbours[digest_turn++ % roles.neighbours.size()];
  actions.messages.push_back({peer, digest()});
}

void VersionedRelay::State::SendChanges(const std::string& peer,
                                        Version since,
                                        Actions& actions) {
  for (Update& part : Split(store.ChangesSince(since))) {
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
  request_until = now + kRequestPatience;
  actions.messages.push_back({peer, Request{store.revision()}});
}

// `before` is this daemon's revision before the change, which most neighbours
// share. One that does not finds a gap and asks. Where all daemons watch, as in
// a small deployment, sending each change to each neighbour would be waste.
void VersionedRelay::State::PushToNeighbours(Version before,
                                             const std::string& source,
                                             absl::Time now,
                                             Actions& actions) {
  for (const std::string& name : roles.neighbours) {
    PeerState& peer = peers[name];
    const Version since = peer.revision.value_or(before);
    if (!roles.informed.contains(name)) {
      if (name == source || since >= store.revision()) {
        continue;
      }
      if (SizeOf(store.ChangesSince(since)) > kMaxPushBytes) {
        actions.messages.push_back({name, digest()});
      } else {
        SendChanges(name, since, actions);
      }
      continue;
    }
    // Shows that this daemon knows, so that it is not sent the change.
    actions.messages.push_back({name, digest()});
    if (since < store.revision() && peer.push_at == absl::InfiniteFuture()) {
      peer.push_at = now + kPushDelay;
      peer.push_since = since;
    }
  }
}

void VersionedRelay::State::PushLate(absl::Time now, Actions& actions) {
  for (const std::string& name : roles.neighbours) {
    PeerState& peer = peers[name];
    if (now < peer.push_at) {
      continue;
    }
    peer.push_at = absl::InfiniteFuture();
    const Version since = peer.revision.value_or(peer.push_since);
    if (since < store.revision()) {
      SendChanges(name, since, actions);
    }
  }
}

void VersionedRelay::State::Receive(const std::string& peer,
                                    const Digest& theirs,
                                    absl::Time now,
                                    Actions& actions) {
  peers[peer].revision = theirs.revision;
  if (theirs.revision > store.revision()) {
    if (store.known()) {
      request_at = std::min(request_at, now + kRequestDelay);
      request_peer = peer;
    } else if (now >= request_until) {
      SendRequest(peer, now, actions);
    }
    return;
  }
  if (!store.known()) {
    return;
  }
  // A peer at revision 0 may know nothing, or that there is nothing: it is told
  // also where there is nothing.
  if (theirs.revision < store.revision() || theirs.revision == 0) {
    SendChanges(peer, theirs.revision, actions);
    return;
  }
  if (theirs.hash != store.hash()) {
    ++hash_mismatches;
    schedule.WantList();
    schedule.Expect(store.complete() + 1, now);
  }
}

void VersionedRelay::State::Receive(const std::string& peer,
                                    const Request& request,
                                    absl::Time /*now*/,
                                    Actions& actions) {
  peers[peer].revision = request.since;
  if (store.known() && request.since < store.revision()) {
    SendChanges(peer, request.since, actions);
    return;
  }
  actions.messages.push_back({peer, digest()});
}

// Parts arrive in order on one stream; a part that does not fit drops what was
// gathered, and the next digest starts over.
void VersionedRelay::State::Receive(const std::string& peer,
                                    const Update& update,
                                    absl::Time now,
                                    Actions& actions) {
  std::vector<Update>& parts = peers[peer].parts;
  if (update.part == 0) {
    parts.clear();
  }
  const bool fits =
      update.part == parts.size() &&
      (parts.empty() ||
       (parts[0].to == update.to && parts[0].from == update.from &&
        parts[0].full == update.full && parts[0].parts == update.parts));
  if (!fits) {
    parts.clear();
    return;
  }
  parts.push_back(update);
  if (parts.size() < update.parts) {
    return;
  }
  Update whole = std::move(parts[0]);
  for (std::size_t i = 1; i < parts.size(); ++i) {
    std::move(parts[i].objects.begin(), parts[i].objects.end(),
              std::back_inserter(whole.objects));
  }
  parts.clear();
  ApplyWhole(peer, whole, now, actions);
}

void VersionedRelay::State::ApplyWhole(const std::string& peer,
                                       const Update& update,
                                       absl::Time now,
                                       Actions& actions) {
  std::optional<Version>& theirs = peers[peer].revision;
  theirs = std::max(theirs.value_or(0), update.to);
  const Version before = store.revision();
  switch (store.ApplyUpdate(update)) {
    case Merge::kStale:
      break;
    case Merge::kGap:
      ++update_gaps;
      if (now >= request_until) {
        SendRequest(peer, now, actions);
      }
      break;
    case Merge::kKnownBetter:
      actions.changed = true;
      theirs = update.to;
      PushToNeighbours(before, peer, now, actions);
      SendChanges(peer, update.to, actions);
      break;
    case Merge::kApplied:
      actions.changed = true;
      request_until = absl::InfinitePast();
      PushToNeighbours(before, peer, now, actions);
      schedule.NoteProgress(update.to, now);
      break;
  }
}

void VersionedRelay::State::FinishMerge(Merge merge,
                                        Version before,
                                        absl::Time now,
                                        Actions& actions) {
  if (merge == Merge::kApplied) {
    actions.changed = true;
    PushToNeighbours(before, "", now, actions);
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
  std::map<std::string, PeerState, std::less<>> kept;
  for (const Peer& peer : peers) {
    const auto it = state_->peers.find(peer.name);
    kept[peer.name] =
        it == state_->peers.end() ? PeerState() : std::move(it->second);
  }
  state_->peers = std::move(kept);
  if (!had_neighbours) {
    state_->next_digest = now;
  }
}

Actions VersionedRelay::OnTick(absl::Time now) {
  Actions actions;
  state_->Tick(now, actions);
  return actions;
}

Actions VersionedRelay::OnMessage(const std::string& peer,
                                  const Message& message,
                                  absl::Time now) {
  Actions actions;
  // Answers are built from what is known of the peer, so only live members
  // take part.
  if (!state_->peers.contains(peer)) {
    return actions;
  }
  std::visit([&](const auto& m) { state_->Receive(peer, m, now, actions); },
             message);
  return actions;
}

Actions VersionedRelay::OnList(std::uint64_t id,
                               Version revision,
                               std::span<const Object> objects,
                               absl::Time now) {
  Actions actions;
  const auto call = state_->schedule.Finish(id);
  if (!call || call->type != CallType::kList) {
    ++state_->stale_answers;
    return actions;
  }
  state_->schedule.Succeeded(*call, true, now);
  state_->platform_behind = revision < state_->store.complete();
  if (state_->platform_behind) {
    ++state_->stale_answers;
  }
  const Version before = state_->store.revision();
  const Merge merge = state_->store.ApplyList(revision, objects);
  state_->FinishMerge(merge, before, now, actions);
  state_->CallPlatform(now, actions);
  return actions;
}

Actions VersionedRelay::OnWatch(std::uint64_t id,
                                Version revision,
                                std::span<const Object> events,
                                absl::Time now) {
  Actions actions;
  const auto call = state_->schedule.Finish(id);
  if (!call || call->type != CallType::kWatch) {
    ++state_->stale_answers;
    return actions;
  }
  state_->schedule.Succeeded(*call, !events.empty(), now);
  state_->platform_behind = revision < call->after;
  if (state_->platform_behind) {
    ++state_->stale_answers;
  }
  const Version before = state_->store.revision();
  const Merge merge = state_->store.ApplyWatch(call->after, revision, events);
  state_->FinishMerge(merge, before, now, actions);
  state_->CallPlatform(now, actions);
  return actions;
}

Actions VersionedRelay::OnCallFailed(std::uint64_t id,
                                     ResultCode code,
                                     absl::Time now) {
  if (state_->schedule.Finish(id)) {
    state_->schedule.Failed(code, now);
  } else {
    ++state_->stale_answers;
  }
  return {};
}

Actions VersionedRelay::OnRevisionHint(Version revision, absl::Time now) {
  Actions actions;
  if (revision > state_->store.complete()) {
    state_->schedule.Expect(revision, now);
    state_->CallPlatform(now, actions);
  }
  return actions;
}

Version VersionedRelay::revision() const {
  return state_->store.revision();
}

std::vector<Object> VersionedRelay::objects() const {
  return state_->store.Live();
}

const Object* VersionedRelay::Find(std::string_view key) const {
  return state_->store.Find(key);
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
  stats.call_timeouts = state_->schedule.stalls();
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
