#include "gcw/load/aggregator.h"

#include <algorithm>
#include <array>
#include <map>
#include <utility>

#include "src/load/aggregation_tree.h"

namespace gcw::load {
namespace {

// The age of the oldest figures in `figures`.
absl::Duration AgeOf(const FleetFigures& figures) {
  absl::Duration age;
  for (const Coverage& part : figures.coverage) {
    age = std::max(age, part.age);
  }
  return age;
}

// Whether `a` tells more of the fleet than `b`, or the same more recently.
bool IsBetter(const FleetFigures& a, const FleetFigures& b) {
  if (a.sum.daemons != b.sum.daemons) {
    return a.sum.daemons > b.sum.daemons;
  }
  return AgeOf(a) < AgeOf(b);
}

}  // namespace

class Aggregator::Impl {
 public:
  explicit Impl(const Options& options) : options_(options) {
    SetPeers({}, absl::InfinitePast());
  }

  void SetPeers(std::span<const Peer> peers, absl::Time now) {
    std::map<std::string, std::vector<std::string>> zones;
    zones[options_.zone].push_back(options_.name);
    for (const Peer& peer : peers) {
      if (peer.name != options_.name) {
        zones[peer.zone].push_back(peer.name);
      }
    }
    for (auto& [zone, names] : zones) {
      std::sort(names.begin(), names.end());
    }
    for (AggregationTree& tree : trees_) {
      std::map<NameHash, AggregationTree::Root> roots;
      for (const auto& [zone, names] : zones) {
        if (zone != options_.zone) {
          roots[HashName(zone)] = {names.front(), names.size()};
        }
      }
      tree.SetPeers(zones[options_.zone], std::move(roots), now);
      for (auto& [zone, names] : zones) {
        std::reverse(names.begin(), names.end());
      }
    }
  }

  void SetOwn(Figures figures, absl::Time now) {
    own_ = {std::move(figures), now};
    own_.figures.daemons = 1;
  }

  std::vector<OutgoingMessage> OnMessage(std::string_view from,
                                         const Message& message,
                                         absl::Time now) {
    std::vector<OutgoingMessage> out;
    AggregationTree& tree = trees_[message.tree % kTreeCount];
    if (!tree.OnMessage(from, message, own_, now, &out)) {
      ++ignored_;
    } else if (message.type == MessageType::kTotal) {
      trees_[(message.tree + 1) % kTreeCount].OnOtherRound(now);
    }
    return out;
  }

  std::vector<OutgoingMessage> OnTick(absl::Time now) {
    std::vector<OutgoingMessage> out;
    for (AggregationTree& tree : trees_) {
      tree.OnTick(own_, now, &out);
    }
    return out;
  }

  FleetFigures Total(absl::Time now) const {
    FleetFigures first = trees_[0].Total(own_, now);
    FleetFigures second = trees_[1].Total(own_, now);
    FleetFigures& best = IsBetter(first, second) ? first : second;
    if (best.sum.daemons > 0) {
      return std::move(best);
    }
    return {own_.figures, {{HashName(options_.zone), 1, now - own_.measured}}};
  }

  std::uint64_t ignored_messages() const { return ignored_; }

 private:
  const Options options_;
  OwnFigures own_;
  std::array<AggregationTree, kTreeCount> trees_{AggregationTree{options_, 0},
                                                 AggregationTree{options_, 1}};
  std::uint64_t ignored_ = 0;
};

Result<std::unique_ptr<Aggregator>> Aggregator::Make(const Options& options) {
  if (options.name.empty() || options.zone.empty()) {
    return Error{ResultCode::kInvalidField,
                 options.name.empty() ? "name" : "zone", "must not be empty"};
  }
  if (options.fanout == 0 || options.server_rounds == 0 ||
      options.interval <= absl::ZeroDuration() ||
      options.max_age <= absl::ZeroDuration()) {
    return Error{
        ResultCode::kInvalidField, "",
        "fanout, server_rounds, interval and max_age must be positive"};
  }
  return std::unique_ptr<Aggregator>(
      new Aggregator(std::make_unique<Impl>(options)));
}

Aggregator::Aggregator(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
Aggregator::~Aggregator() = default;

void Aggregator::SetPeers(std::span<const Peer> peers, absl::Time now) {
  impl_->SetPeers(peers, now);
}
void Aggregator::SetOwn(Figures figures, absl::Time now) {
  impl_->SetOwn(std::move(figures), now);
}
std::vector<OutgoingMessage> Aggregator::OnMessage(std::string_view from,
                                                   const Message& message,
                                                   absl::Time now) {
  return impl_->OnMessage(from, message, now);
}
std::vector<OutgoingMessage> Aggregator::OnTick(absl::Time now) {
  return impl_->OnTick(now);
}
FleetFigures Aggregator::Total(absl::Time now) const {
  return impl_->Total(now);
}
std::uint64_t Aggregator::ignored_messages() const {
  return impl_->ignored_messages();
}

}  // namespace gcw::load
