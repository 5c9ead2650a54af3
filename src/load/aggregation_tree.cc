#include "src/load/aggregation_tree.h"

#include <algorithm>
#include <utility>

namespace gcw::load {
namespace {

// How long a daemon waits for each level below it before it answers a round
// without its slowest children. Daemons look at their timers every 50 ms.
constexpr absl::Duration kCollectTimePerLevel = absl::Milliseconds(50);
// While there is no load, rounds are this many times rarer.
constexpr double kIdleFactor = 1.6;
// By how much of its length an interval is changed to keep the rounds of the
// two trees apart.
constexpr double kMaxShift = 0.25;
// A daemon that sees no round for this many intervals reports on its own.
constexpr int kLostRounds = 2;
// How long figures of single servers are kept, in rounds that have them.
constexpr double kServerRetentionRounds = 1.25;

bool HasLoad(const Figures& figures) {
  return std::any_of(
      figures.zones.begin(), figures.zones.end(), [](const ZoneLoad& load) {
        return load.outstanding > 0 || load.placed_per_second > 0 ||
               load.refused_per_second > 0;
      });
}

}  // namespace

AggregationTree::AggregationTree(const Options& options, std::uint8_t tree)
    : options_(options),
      tree_(tree),
      zone_(HashName(options.zone)),
      round_interval_(options.interval) {}

void AggregationTree::SetPeers(std::span<const std::string> own_zone,
                               std::map<NameHash, Root> roots,
                               absl::Time now) {
  const bool was_root = position_.is_root();
  position_ = FindPosition(own_zone, options_.name, options_.fanout);
  zone_size_ = own_zone.size();
  roots_ = std::move(roots);
  std::erase_if(children_, [&](const auto& item) {
    return std::find(position_.children.begin(), position_.children.end(),
                     item.first) == position_.children.end();
  });
  std::erase_if(zones_,
                [&](const auto& item) { return !roots_.contains(item.first); });
  if (position_.is_root() &&
      (!was_root || next_round_ == absl::InfinitePast())) {
    next_round_ = std::max(next_round_, now + tree_ * options_.interval / 2);
  }
}

bool AggregationTree::OnMessage(std::string_view from,
                                const Message& message,
                                const OwnFigures& own,
                                absl::Time now,
                                std::vector<OutgoingMessage>* out) {
  switch (message.type) {
    case MessageType::kTotal:
      if (!OnTotal(from, message, own, now)) {
        return false;
      }
      SendToChildren(message, out);
      FinishRound(own, now, out);
      return true;
    case MessageType::kPartial:
      if (!OnPartial(from, message, own, now)) {
        return false;
      }
      FinishRound(own, now, out);
      return true;
    case MessageType::kZone:
      return OnZone(from, message, own, now);
  }
  return false;
}

bool AggregationTree::OnTotal(std::string_view from,
                              const Message& message,
                              const OwnFigures& own,
                              absl::Time now) {
  if (from != position_.parent || position_.is_root()) {
    return false;
  }
  Store(message, fleet_size(), ReferenceWithout(from, own), now, &total_);
  sequence_ = message.sequence;
  collecting_ = true;
  collect_until_ =
      now + static_cast<double>(position_.height) * kCollectTimePerLevel;
  last_round_ = now;
  return true;
}

bool AggregationTree::OnPartial(std::string_view from,
                                const Message& message,
                                const OwnFigures& own,
                                absl::Time now) {
  const auto it =
      std::find(position_.children.begin(), position_.children.end(), from);
  const bool own_zone = message.figures.coverage.empty() ||
                        (message.figures.coverage.size() == 1 &&
                         message.figures.coverage[0].zone == zone_);
  if (it == position_.children.end() || !own_zone) {
    return false;
  }
  const auto child = static_cast<std::size_t>(it - position_.children.begin());
  Store(message, position_.child_sizes[child], ReferenceWithout(from, own), now,
        &children_[std::string(from)]);
  return true;
}

bool AggregationTree::OnZone(std::string_view from,
                             const Message& message,
                             const OwnFigures& own,
                             absl::Time now) {
  const auto it =
      std::find_if(roots_.begin(), roots_.end(),
                   [&](const auto& item) { return item.second.name == from; });
  const bool own_part = message.figures.coverage.size() == 1 &&
                        it != roots_.end() &&
                        message.figures.coverage[0].zone == it->first;
  if (!position_.is_root() || !own_part) {
    return false;
  }
  Store(message, it->second.daemons, ReferenceWithout(from, own), now,
        &zones_[it->first]);
  return true;
}

void AggregationTree::Store(const Message& message,
                            std::size_t max_daemons,
                            const Reference& reference,
                            absl::Time now,
                            Received* received) const {
  received->figures = message.figures;
  Figures& sum = received->figures.sum;
  const auto limit = static_cast<std::uint32_t>(max_daemons);
  sum.daemons = std::min(sum.daemons, limit);
  for (Coverage& part : received->figures.coverage) {
    part.daemons = std::min(part.daemons, limit);
  }
  reference.Limit(sum);
  received->received = now;
  received->sequence = message.sequence;
  if (message.has_servers) {
    received->servers = std::move(sum.servers);
    received->servers_received = now;
  }
  sum.servers.clear();
}

Reference AggregationTree::ReferenceWithout(std::string_view sender,
                                            const OwnFigures& own) const {
  Reference reference;
  reference.Add(own.figures);
  for (const auto& [name, child] : children_) {
    if (name != sender) {
      reference.Add(child.figures.sum);
    }
  }
  for (const auto& [zone, part] : zones_) {
    const auto root = roots_.find(zone);
    if (root != roots_.end() && root->second.name != sender) {
      reference.Add(part.figures.sum);
    }
  }
  if (position_.parent != sender) {
    reference.Add(total_.figures.sum);
  }
  return reference;
}

std::size_t AggregationTree::fleet_size() const {
  std::size_t size = zone_size_;
  for (const auto& [zone, root] : roots_) {
    size += root.daemons;
  }
  return size;
}

void AggregationTree::OnOtherRound(absl::Time now) {
  if (position_.is_root()) {
    next_round_ = std::clamp(now + round_interval_ / 2,
                             last_round_ + (1 - kMaxShift) * round_interval_,
                             last_round_ + (1 + kMaxShift) * round_interval_);
  }
}

void AggregationTree::OnTick(const OwnFigures& own,
                             absl::Time now,
                             std::vector<OutgoingMessage>* out) {
  if (position_.is_root()) {
    if (now >= next_round_) {
      StartRound(own, now, out);
    }
  } else if (now - last_round_ >=
             kLostRounds * kIdleFactor * options_.interval) {
    // The parent has no root that starts rounds.
    ++sequence_;
    last_round_ = now - kLostRounds * (kIdleFactor - 0.5) * options_.interval;
    collecting_ = true;
    collect_until_ = now;
  }
  FinishRound(own, now, out);
}

void AggregationTree::StartRound(const OwnFigures& own,
                                 absl::Time now,
                                 std::vector<OutgoingMessage>* out) {
  ++sequence_;
  last_round_ = now;
  round_interval_ = (is_idle(own, now) ? kIdleFactor : 1) * options_.interval;
  next_round_ = now + round_interval_;
  collecting_ = true;
  collect_until_ =
      now + static_cast<double>(position_.height) * kCollectTimePerLevel;
  Message message{.type = MessageType::kTotal,
                  .tree = tree_,
                  .sequence = sequence_,
                  .figures = RootTotal(own, now),
                  .has_servers = TotalHasServers()};
  if (!message.has_servers) {
    message.figures.sum.servers.clear();
  }
  SendToChildren(message, out);
}

void AggregationTree::SendToChildren(const Message& message,
                                     std::vector<OutgoingMessage>* out) const {
  for (const std::string& child : position_.children) {
    out->push_back({child, message});
  }
}

bool AggregationTree::AllChildrenAnswered() const {
  return std::all_of(position_.children.begin(), position_.children.end(),
                     [&](const std::string& name) {
                       const auto it = children_.find(name);
                       return it != children_.end() &&
                              it->second.sequence == sequence_;
                     });
}

void AggregationTree::FinishRound(const OwnFigures& own,
                                  absl::Time now,
                                  std::vector<OutgoingMessage>* out) {
  if (!collecting_ || (now < collect_until_ && !AllChildrenAnswered())) {
    return;
  }
  collecting_ = false;
  Message message{.tree = tree_,
                  .sequence = sequence_,
                  .figures = SubtreeSum(own, now),
                  .has_servers = PartialHasServers()};
  if (!position_.is_root()) {
    message.type = MessageType::kPartial;
    if (!message.has_servers) {
      message.figures.sum.servers.clear();
    }
    out->push_back({position_.parent, std::move(message)});
    return;
  }
  message.type = MessageType::kZone;
  message.has_servers = false;
  message.figures.sum.servers.clear();
  for (const auto& [zone, root] : roots_) {
    out->push_back({root.name, message});
  }
}

bool AggregationTree::is_idle(const OwnFigures& own, absl::Time now) const {
  return !HasLoad(RootTotal(own, now).sum);
}

bool AggregationTree::PartialHasServers() const {
  return sequence_ % options_.server_rounds == 0;
}

bool AggregationTree::TotalHasServers() const {
  return sequence_ % options_.server_rounds == 1 % options_.server_rounds;
}

void AggregationTree::AddRecent(const Received& received,
                                bool with_servers,
                                absl::Duration max_age,
                                absl::Time now,
                                PartialSum* sum) const {
  const absl::Duration waited = now - received.received;
  FleetFigures recent = received.figures;
  // The load of one zone cannot be taken out of the sum.
  const bool too_old = std::any_of(
      recent.coverage.begin(), recent.coverage.end(),
      [&](const Coverage& part) { return part.age + waited > max_age; });
  if (too_old || recent.coverage.empty()) {
    return;
  }
  const absl::Duration retention =
      kServerRetentionRounds * options_.server_rounds * options_.interval;
  if (with_servers && now - received.servers_received <= retention) {
    recent.sum.servers = received.servers;
  }
  sum->Add(recent, waited);
}

FleetFigures AggregationTree::SubtreeSum(const OwnFigures& own,
                                         absl::Time now) const {
  PartialSum sum;
  const absl::Duration age = now - own.measured;
  if (age <= options_.max_age) {
    sum.Add(own.figures, {zone_, 1, age});
  }
  for (const auto& [name, child] : children_) {
    AddRecent(child, true, options_.max_age, now, &sum);
  }
  return sum.Result();
}

FleetFigures AggregationTree::RootTotal(const OwnFigures& own,
                                        absl::Time now) const {
  PartialSum sum;
  sum.Add(SubtreeSum(own, now), absl::ZeroDuration());
  for (const auto& [zone, part] : zones_) {
    // A part that is nearly too old would make the whole total too old for its
    // receivers before the next one arrives.
    AddRecent(part, false, options_.max_age - options_.interval / 2, now, &sum);
  }
  return sum.Result();
}

FleetFigures AggregationTree::Total(const OwnFigures& own,
                                    absl::Time now) const {
  if (position_.is_root()) {
    return RootTotal(own, now);
  }
  PartialSum sum;
  AddRecent(total_, true, options_.max_age, now, &sum);
  return sum.Result();
}

}  // namespace gcw::load
