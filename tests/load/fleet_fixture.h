#ifndef GCW_TESTS_LOAD_FLEET_FIXTURE_H_
#define GCW_TESTS_LOAD_FLEET_FIXTURE_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "gcw/load/aggregator.h"

namespace gcw::load {

// Daemons in several zones that exchange their load over a network with a delay
// of 1 ms, on which one zone can be separated from the others. Each daemon has
// two outstanding requests unless SetLoad() says otherwise.
class Fleet {
 public:
  Fleet(std::size_t zones, std::size_t daemons_per_zone) {
    for (std::size_t i = 0; i < zones * daemons_per_zone; ++i) {
      peers_.push_back({"daemon-" + std::to_string(1000 + i),
                        "zone-" + std::to_string(i / daemons_per_zone)});
    }
    for (const Peer& peer : peers_) {
      auto& daemon = daemons_[peer.name];
      daemon = Aggregator::Make({.name = peer.name, .zone = peer.zone}).value();
      daemon->SetPeers(peers_, now_);
    }
  }

  void SetLoad(const std::string& name, std::uint32_t outstanding) {
    loads_[name] = outstanding;
  }
  void Stop(const std::string& name) { stopped_.insert(name); }
  void Separate(const std::string& zone) { separated_ = zone; }

  // Removes the stopped daemons from the list that all others have.
  void RemoveStopped() {
    std::erase_if(
        peers_, [&](const Peer& peer) { return stopped_.contains(peer.name); });
    for (const auto& [name, daemon] : daemons_) {
      daemon->SetPeers(peers_, now_);
    }
  }

  void Run(absl::Duration duration) {
    for (const absl::Time end = now_ + duration; now_ < end;
         now_ += absl::Milliseconds(1)) {
      Deliver();
      ++step_;
      if (step_ % 50 == 0) {
        Tick();
      }
    }
  }

  FleetFigures Total(const std::string& name) const {
    return daemons_.at(name)->Total(now_);
  }
  std::uint32_t Outstanding(const std::string& name) const {
    std::uint32_t sum = 0;
    for (const ZoneLoad& load : Total(name).sum.zones) {
      sum += load.outstanding;
    }
    return sum;
  }
  // The age of the oldest part of the total of `name`.
  absl::Duration Age(const std::string& name) const {
    absl::Duration age;
    for (const Coverage& part : Total(name).coverage) {
      age = std::max(age, part.age);
    }
    return age;
  }
  std::uint64_t ignored() const {
    std::uint64_t ignored = 0;
    for (const auto& [name, daemon] : daemons_) {
      ignored += daemon->ignored_messages();
    }
    return ignored;
  }

  const std::vector<Peer>& peers() const { return peers_; }
  // Bytes that each daemon has sent, with the headers of IP, UDP and the
  // signature.
  std::map<std::string, std::size_t>& sent_bytes() { return sent_bytes_; }

 private:
  struct Sent {
    std::string from;
    OutgoingMessage message;
  };

  void Tick() {
    for (const auto& [name, daemon] : daemons_) {
      if (stopped_.contains(name)) {
        continue;
      }
      Figures own;
      const auto load = loads_.find(name);
      own.zones = {{.service = 5,
                    .zone = 6,
                    .outstanding = load == loads_.end() ? 2 : load->second}};
      own.servers = {{.server = 9,
                      .outstanding = 1,
                      .answers = 2,
                      .slowness = 2 * kSlownessUnit}};
      daemon->SetOwn(own, now_);
      Send(name, daemon->OnTick(now_));
    }
  }

  void Send(const std::string& from, std::vector<OutgoingMessage> messages) {
    constexpr std::size_t kHeaderBytes = 28 + 39;
    for (OutgoingMessage& message : messages) {
      sent_bytes_[from] += Encode(message.message).size() + kHeaderBytes;
      network_.push_back({from, std::move(message)});
    }
  }

  void Deliver() {
    for (Sent& sent : std::exchange(network_, {})) {
      const std::string& to = sent.message.to;
      if (stopped_.contains(to) || IsSeparated(to) != IsSeparated(sent.from)) {
        continue;
      }
      const Message message = Decode(Encode(sent.message.message)).value();
      Send(to, daemons_.at(to)->OnMessage(sent.from, message, now_));
    }
  }

  bool IsSeparated(const std::string& name) const {
    const auto it =
        std::find_if(peers_.begin(), peers_.end(),
                     [&](const Peer& peer) { return peer.name == name; });
    return it != peers_.end() && it->zone == separated_;
  }

  std::vector<Peer> peers_;
  std::map<std::string, std::unique_ptr<Aggregator>> daemons_;
  std::map<std::string, std::uint32_t> loads_;
  std::set<std::string> stopped_;
  std::string separated_;
  std::vector<Sent> network_;
  std::map<std::string, std::size_t> sent_bytes_;
  absl::Time now_ = absl::UnixEpoch() + absl::Hours(1);
  int step_ = 0;
};

}  // namespace gcw::load

#endif  // GCW_TESTS_LOAD_FLEET_FIXTURE_H_
