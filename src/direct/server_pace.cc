#include "src/direct/server_pace.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <cstddef>
#include <functional>
#include <utility>

#include "src/direct/fleet_load.h"

namespace gcw::direct {
namespace {

// Slow start begins with this share of the new flows that another server gets.
// Even a server that is several times slower than usual at first, for example
// with empty caches, can then keep up.
constexpr double kFirstShare = 1.0 / 8;
// A server that answers too slowly still gets some flows, which show when it is
// faster again.
constexpr double kMinShare = 1.0 / 16;
// A server that was cold has been limited for that time already, so it begins
// with this share once it is warm.
constexpr double kFirstShareAfterCold = 1.0 / 2;
// The share changes after this many answers for each slot: each slot was then
// used about twice.
constexpr double kAnswersPerSlot = 2;
// Fewer good answers suffice if the share has not changed for this long. With
// few requests, the server would otherwise be idle for most of its slow start.
constexpr absl::Duration kCalmDoublingInterval = absl::Seconds(1);
// The share doubles if the mean latency is at most this many times the usual
// one, and halves above the second value. In between, the server is at the pace
// that it bears.
constexpr double kGoodSlowness = 1.5;
constexpr double kTooSlow = 2.5;
// More outstanding requests for each slot halve the share. A server rejects
// requests at about 5.
constexpr double kMaxOutstandingPerSlot = 3;
// A share stays for at least this long before it doubles, so that requests that
// were placed with it are among those that count. Requests take 30 to 70 ms.
constexpr absl::Duration kDoublingInterval = absl::Milliseconds(200);
// The same before the share halves. Figures of the fleet are up to 0.8 s old,
// and one slow phase should halve the share once.
constexpr absl::Duration kHalvingInterval = absl::Seconds(1);
// Slow start ends this long after the server began or last answered too slowly.
// A service without demand then keeps no state.
constexpr absl::Duration kSlowStartTime = absl::Seconds(10);

// Limits of the slowness. The lower one limits how many flows a server attracts
// that fails fast; the upper one lets a slow server show that it has recovered.
constexpr double kMinSlowness = 0.4;
constexpr double kMaxSlowness = 4;
// A single answer counts with at most this slowness, so that one hung request
// does not outweigh many answers.
constexpr double kMaxAnswerSlowness = 2 * kMaxSlowness;
// The slowness of a server counts as if it had this many more answers of the
// usual latency, because a few answers prove little.
constexpr double kUsualAnswers = 4;
// Time constants of this daemon's own answers, of which there are few, and of
// changes of the slowness. The latter damps the loop from slowness to load to
// latency, whose figures are up to 3 s old.
constexpr absl::Duration kOwnTime = absl::Seconds(4);
constexpr absl::Duration kSlownessTime = absl::Seconds(1);
// State of a server with fewer recent answers, and with a slowness closer to 1,
// is dropped.
constexpr double kForgottenAnswers = 0.05;
constexpr double kForgottenSlowness = 0.02;

// A difference from what is expected counts if it is larger than this many
// standard deviations.
constexpr double kSignificantDeviations = 2;
// Own answers make a server worth telling with fewer deviations. A wrong guess
// costs a few bytes, and the sum over all daemons then corrects it.
constexpr double kTellingDeviations = 1.25;
// A server is unusual outside these bounds: by own answers, and in the sum over
// all daemons. The sum includes only daemons that tell of the server, so it
// must be listed in it for a server to be told by all.
constexpr double kUnusualOwn = 1.5;
constexpr double kUnusualSum = 1.3;
// More own requests for each slot make a server worth telling.
constexpr std::uint32_t kLoadedPerSlot = 2;
// Servers that one daemon tells of: about 250 bytes every 2 s.
constexpr std::size_t kMaxTold = 20;

// Whether `slowness` is outside 1 / `bound` to `bound`.
bool IsUnusual(double slowness, double bound) {
  return slowness > bound || slowness < 1 / bound;
}

// Whether many of this daemon's requests run or queue at `server`.
bool IsLoaded(const ServerEntry& server) {
  return server.outstanding > kLoadedPerSlot * server.server.slots;
}

double MeanSlowness(const load::ServerLoad& load) {
  return load.answers == 0
             ? 1
             : load.slowness /
                   (static_cast<double>(load::kSlownessUnit) * load.answers);
}

}  // namespace

void ServerPace::Answers::Add(const Answers& other, double weight) {
  count += weight * other.count;
  slowness += weight * other.slowness;
}

std::int64_t ServerPace::Window::NumberAt(absl::Time now) {
  return (now - absl::UnixEpoch()) / (load::kServerWindow / kIntervals);
}

void ServerPace::Window::Add(const Answers& answers, absl::Time now) {
  const std::int64_t number = NumberAt(now);
  Interval& interval =
      intervals_[static_cast<std::size_t>(number % kIntervals)];
  if (interval.number != number) {
    interval = {number, {}};
  }
  interval.answers.Add(answers, 1);
}

ServerPace::Answers ServerPace::Window::Sum(absl::Time now) const {
  const std::int64_t number = NumberAt(now);
  Answers sum;
  for (const Interval& interval : intervals_) {
    if (number - interval.number < kIntervals) {
      sum.Add(interval.answers, 1);
    }
  }
  return sum;
}

void ServerPace::OnAnswer(const ServerEntry& server,
                          absl::Duration latency,
                          absl::Duration usual,
                          absl::Time now) {
  assert(usual > absl::ZeroDuration());
  const Answers answer{
      1, std::min(absl::FDivDuration(latency, usual), kMaxAnswerSlowness)};
  State& state = states_[server.key];
  state.window.Add(answer, now);
  state.recent.Add(answer, 1);
  if (state.slow_start) {
    state.slow_start->estimated_answers.Add(answer, zone_daemons_);
  }
}

void ServerPace::OnStarted(ServerEntry& server, absl::Time now) {
  server.share = kFirstShare;
  server.slowness = 1;
  // What was measured before says nothing about the server now.
  states_[server.key] = {.slow_start =
                             SlowStart{kFirstShare, now, now, {}, {}}};
}

void ServerPace::SetFleet(std::span<const load::ServerLoad> servers,
                          absl::Time now) {
  fleet_.clear();
  for (const load::ServerLoad& load : servers) {
    fleet_[load.server] = load;
    std::optional<SlowStart>& slow_start = states_[load.server].slow_start;
    if (!slow_start) {
      continue;
    }
    // The figures have the answers of a window and are delivered several times.
    // Each time, the part of the window counts that has passed since the last
    // time.
    const absl::Duration passed =
        std::min(now - std::max(fleet_set_at_, slow_start->changed),
                 load::kServerWindow);
    const Answers answers{static_cast<double>(load.answers),
                          load.answers * MeanSlowness(load)};
    slow_start->fleet_answers.Add(
        answers, absl::FDivDuration(passed, load::kServerWindow));
  }
  fleet_set_at_ = now;
}

const load::ServerLoad* ServerPace::FleetFigures(IncarnationKey server,
                                                 absl::Time now) const {
  if (now - fleet_set_at_ > FleetLoad::kMaxAge) {
    return nullptr;
  }
  const auto it = fleet_.find(server);
  return it == fleet_.end() ? nullptr : &it->second;
}

double ServerPace::Outstanding(const ServerEntry& server,
                               absl::Time now) const {
  const load::ServerLoad* fleet = FleetFigures(server.key, now);
  if (fleet != nullptr) {
    return fleet->outstanding;
  }
  // This daemon's requests are a sample of the zone's. Only what chance does
  // not explain counts: else a single request at one of ten daemons would be
  // ten.
  const double own = server.outstanding;
  const double unseen = 1 - 1.0 / zone_daemons_;
  return std::max(0.0, zone_daemons_ * (own - kSignificantDeviations *
                                                  std::sqrt(own * unseen)));
}

double ServerPace::Slowness(IncarnationKey server,
                            const State& state,
                            absl::Time now) const {
  Answers answers = state.recent;
  const load::ServerLoad* fleet = FleetFigures(server, now);
  if (fleet != nullptr) {
    answers = {static_cast<double>(fleet->answers),
               fleet->answers * MeanSlowness(*fleet)};
  }
  const double mean =
      (answers.slowness + kUsualAnswers) / (answers.count + kUsualAnswers);
  return std::clamp(mean, kMinSlowness, kMaxSlowness);
}

const ServerPace::Answers* ServerPace::Evidence(const ServerEntry& server,
                                                const SlowStart& slow_start,
                                                absl::Time now) const {
  const double needed = kAnswersPerSlot * server.server.slots;
  const Answers& estimated = slow_start.estimated_answers;
  if (slow_start.fleet_answers.count >= needed) {
    return &slow_start.fleet_answers;
  }
  if (estimated.count < needed) {
    return nullptr;
  }
  // Figures of the zone are up to 3 s old. Good answers to this daemon count
  // until then: if each of ten daemons doubles its share on its own answers,
  // their mean share rises more slowly than on the answers of all. Slow ones
  // wait for the figures, since a single one may be slow by chance.
  const load::ServerLoad* fleet = FleetFigures(server.key, now);
  const bool good = estimated.slowness <= kGoodSlowness * estimated.count;
  const bool counts =
      fleet == nullptr || (good && MeanSlowness(*fleet) <= kGoodSlowness);
  return counts ? &estimated : nullptr;
}

bool ServerPace::AnswersWell(const SlowStart& slow_start) {
  const Answers& seen = slow_start.fleet_answers.count > 0
                            ? slow_start.fleet_answers
                            : slow_start.estimated_answers;
  return seen.count > 0 && seen.slowness <= kGoodSlowness * seen.count;
}

void ServerPace::AdjustShare(const ServerEntry& server,
                             State& state,
                             absl::Time now) {
  SlowStart& slow_start = *state.slow_start;
  if (server.cold(now)) {
    // A cold server has its own limit and gets few flows. Its slow start counts
    // from when it is warm.
    slow_start.calm_since = now;
    slow_start.was_cold = true;
  } else if (slow_start.was_cold) {
    slow_start.was_cold = false;
    slow_start.share = std::max(slow_start.share, kFirstShareAfterCold);
  }
  const Answers* answers = Evidence(server, slow_start, now);
  const double mean =
      answers == nullptr ? 0 : answers->slowness / answers->count;
  const absl::Duration unchanged = now - slow_start.changed;
  const auto set_share = [&](double share) {
    slow_start.share = share;
    slow_start.changed = now;
    slow_start.fleet_answers = {};
    slow_start.estimated_answers = {};
  };
  if (mean > kTooSlow ||
      Outstanding(server, now) > kMaxOutstandingPerSlot * server.server.slots) {
    slow_start.calm_since = now;
    if (unchanged >= kHalvingInterval) {
      set_share(std::max(slow_start.share / 2, kMinShare));
    }
  } else if (answers != nullptr && unchanged >= kDoublingInterval) {
    set_share(mean <= kGoodSlowness ? 2 * slow_start.share : slow_start.share);
  } else if (answers == nullptr && unchanged >= kCalmDoublingInterval &&
             AnswersWell(slow_start)) {
    set_share(2 * slow_start.share);
  }
  if (slow_start.share >= 1 || now - slow_start.calm_since >= kSlowStartTime) {
    state.slow_start.reset();
  }
}

void ServerPace::OnTick(const ServerTable& servers, absl::Time now) {
  const absl::Duration passed = last_tick_ == absl::InfinitePast()
                                    ? absl::ZeroDuration()
                                    : now - last_tick_;
  last_tick_ = now;
  const double kept = std::exp(-absl::FDivDuration(passed, kOwnTime));
  const double step = 1 - std::exp(-absl::FDivDuration(passed, kSlownessTime));
  absl::erase_if(states_, [&](auto& item) {
    auto& [key, state] = item;
    ServerEntry* server = servers.FindByKey(key);
    if (server == nullptr) {
      return true;
    }
    state.recent = {kept * state.recent.count, kept * state.recent.slowness};
    if (state.slow_start) {
      AdjustShare(*server, state, now);
    }
    server->share = state.slow_start ? state.slow_start->share : 1;
    server->slowness += step * (Slowness(key, state, now) - server->slowness);
    const bool forgotten = !state.slow_start &&
                           state.recent.count < kForgottenAnswers &&
                           FleetFigures(key, now) == nullptr &&
                           std::abs(server->slowness - 1) < kForgottenSlowness;
    if (forgotten) {
      server->slowness = 1;
    }
    return forgotten;
  });
}

double ServerPace::Relevance(const ServerEntry& server,
                             const State& state,
                             absl::Time now) const {
  if (state.slow_start) {
    return 1000;
  }
  double relevance =
      IsLoaded(server)
          ? static_cast<double>(server.outstanding) / server.server.slots
          : 0;
  const load::ServerLoad* fleet = FleetFigures(server.key, now);
  if (fleet != nullptr && IsUnusual(MeanSlowness(*fleet), kUnusualSum)) {
    // Before the servers that only this daemon finds unusual, so that the sum
    // includes all daemons.
    relevance += 100 * std::abs(std::log2(std::max(MeanSlowness(*fleet), 0.1)));
  }
  const Answers& recent = state.recent;
  if (recent.count >= 1) {
    const double mean = recent.slowness / recent.count;
    const double deviation = std::abs(recent.slowness - recent.count);
    if (IsUnusual(mean, kUnusualOwn) &&
        deviation > kTellingDeviations * std::sqrt(recent.count)) {
      relevance += std::abs(std::log2(std::max(mean, 0.1)));
    }
  }
  return relevance;
}

std::vector<const ServerEntry*> ServerPace::ServersToTell(
    const ServerTable& servers,
    absl::Time now) const {
  std::vector<std::pair<double, const ServerEntry*>> told;
  const auto add = [&](const ServerEntry& server, const State& state) {
    const double relevance = Relevance(server, state, now);
    if (relevance > 0) {
      told.emplace_back(relevance, &server);
    }
  };
  for (const auto& [key, state] : states_) {
    const ServerEntry* server = servers.FindByKey(key);
    if (server != nullptr) {
      add(*server, state);
    }
  }
  // Servers that have not answered yet.
  for (const auto& entry : servers.entries()) {
    if (IsLoaded(*entry) && !states_.contains(entry->key)) {
      add(*entry, {});
    }
  }
  if (told.size() > kMaxTold) {
    std::nth_element(told.begin(), told.begin() + kMaxTold, told.end(),
                     std::greater<>());
    told.resize(kMaxTold);
  }
  std::vector<const ServerEntry*> entries;
  entries.reserve(told.size());
  for (const auto& [relevance, entry] : told) {
    entries.push_back(entry);
  }
  return entries;
}

std::vector<load::ServerLoad> ServerPace::OwnFigures(const ServerTable& servers,
                                                     absl::Time now) const {
  std::vector<load::ServerLoad> figures;
  for (const ServerEntry* entry : ServersToTell(servers, now)) {
    const auto it = states_.find(entry->key);
    const Answers answers =
        it == states_.end() ? Answers() : it->second.window.Sum(now);
    figures.push_back(
        {.server = entry->key,
         .outstanding = entry->outstanding,
         .answers = static_cast<std::uint32_t>(std::lround(answers.count)),
         .slowness = static_cast<std::uint32_t>(
             std::lround(answers.slowness * load::kSlownessUnit))});
  }
  return figures;
}

std::vector<SlowStartStats> ServerPace::SlowStarts(
    const ServerTable& servers) const {
  std::vector<SlowStartStats> stats;
  for (const auto& [key, state] : states_) {
    const ServerEntry* server = servers.FindByKey(key);
    if (state.slow_start && server != nullptr &&
        server->presence != Presence::kRestarted) {
      stats.push_back({server->server.name, state.slow_start->share});
    }
  }
  return stats;
}

}  // namespace gcw::direct
