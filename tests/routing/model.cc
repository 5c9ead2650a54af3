#include "tests/routing/model.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace gcw::routing::testing {

namespace {

// Interval of RoutingPolicy::OnTick.
constexpr double kTickSeconds = 0.05;
// Callers repeat an unanswered SYN after this many seconds, and give up after
// kSynAttempts.
constexpr double kSynTimeout = 1.0;
constexpr int kSynAttempts = 8;
// Seconds after which the members suspect a killed daemon, and remove it.
constexpr double kSuspectAfter = 1.5;
constexpr double kDeadAfter = 3.0;

bool AcceptsPackets(const config::Snapshot& snapshot,
                    const config::BackendServer& server) {
  return server.state != config::ServerState::kOut &&
         snapshot.zones.at(server.zone).state == config::ZoneState::kIn;
}

}  // namespace

Model::Model(const ModelOptions& options, const ConfigBuilder& config)
    : options_(options), config_(config), random_(options.seed) {
  daemons_.resize(options_.zones.size());
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    daemons_[i].name = fmt::format("b{}", i);
    daemons_[i].zone = options_.zones[i];
    for (std::size_t j = 0; j < daemons_.size(); ++j) {
      daemons_[i].view.push_back({fmt::format("b{}", j), options_.zones[j]});
    }
  }
  published_ = config_.BuildSnapshot();
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    Start(static_cast<int>(i));
  }
  Schedule(0.5, [this] { OpenFlow(); });
}

void Model::RunUntil(double seconds) {
  while (!events_.empty() && events_.top().at <= seconds) {
    Event event = events_.top();
    events_.pop();
    now_ = std::max(now_, event.at);
    event.action();
  }
  now_ = seconds;
}

void Model::Schedule(double seconds, std::function<void()> action) {
  events_.push({seconds, ++order_, std::move(action)});
}

double Model::Random(double limit) {
  return std::uniform_real_distribution<double>(0, limit)(random_);
}

bool Model::Chance(double probability) {
  return probability > 0 && Random(1) < probability;
}

int Model::RandomDaemon() {
  std::vector<int> up;
  for (int i = 0; i < static_cast<int>(daemons_.size()); ++i) {
    if (daemons_[i].running) {
      up.push_back(i);
    }
  }
  return up.empty() ? -1 : up[random_() % up.size()];
}

bool Model::Connected(int a, int b) const {
  return partition_side_.contains(a) == partition_side_.contains(b);
}

void Model::RunOnDaemon(int daemon, double at, std::function<void()> action) {
  const int generation = daemons_[daemon].generation;
  Schedule(at, [this, daemon, generation, action = std::move(action)] {
    Daemon& target = daemons_[daemon];
    if (!target.running || target.generation != generation) {
      return;
    }
    if (target.paused_until > now_) {
      RunOnDaemon(daemon, target.paused_until, action);
      return;
    }
    action();
  });
}

void Model::Publish() {
  published_ = config_.BuildSnapshot();
  for (const auto& [name, server] : published_->servers) {
    server_of_[server.address] = name;
    if (AcceptsPackets(*published_, server)) {
      out_since_.erase(name);
    } else {
      out_since_.try_emplace(name, now_);
    }
    if (server.state == config::ServerState::kIn) {
      draining_since_.erase(name);
    } else {
      draining_since_.try_emplace(name, now_);
    }
  }
  // One daemon gets the configuration at once, the others after a random delay.
  const int first = RandomDaemon();
  for (int i = 0; i < static_cast<int>(daemons_.size()); ++i) {
    if (!daemons_[i].running) {
      continue;
    }
    const double delay = i == first ? 0 : Random(options_.config_delay);
    RunOnDaemon(i, now_ + delay, [this, i, snapshot = published_] {
      policy(i).ApplySnapshot(snapshot, Time());
      SendMessages(i);
    });
  }
}

void Model::Start(int daemon) {
  Daemon& target = daemons_[daemon];
  RouterOptions options;
  options.policy = options_.policy;
  options.self = target.name;
  options.zone = target.zone;
  options.max_flows = options_.max_flows;
  options.control_bytes_per_second = options_.control_bytes_per_second;
  target.policy = RoutingPolicy::Make(options).value();
  target.running = true;
  target.leaving = false;
  target.started = now_;
  target.paused_until = 0;
  ++target.generation;
  for (Member& member : target.view) {
    member.state = MemberState::kAlive;
  }
  std::erase_if(target.view, [&](const Member& member) {
    return std::none_of(daemons_.begin(), daemons_.end(), [&](const Daemon& d) {
      return d.running && d.name == member.name;
    });
  });
  target.policy->ApplySnapshot(published_, Time());
  SetView(daemon);
  AnnounceState(daemon, MemberState::kAlive, false, now_ > 0 ? 0.5 : 0);
  RunOnDaemon(daemon, now_ + Random(kTickSeconds),
              [this, daemon] { Tick(daemon); });
}

void Model::Kill(int daemon) {
  daemons_[daemon].running = false;
  AnnounceState(daemon, MemberState::kSuspect, false, kSuspectAfter);
  AnnounceState(daemon, MemberState::kSuspect, true, kDeadAfter);
}

void Model::Pause(int daemon, double seconds) {
  daemons_[daemon].paused_until = now_ + seconds;
}

void Model::Leave(int daemon) {
  daemons_[daemon].leaving = true;
  AnnounceState(daemon, MemberState::kLeaving, false, 0.2);
  const int generation = daemons_[daemon].generation;
  const double deadline = now_ + 10;
  auto poll = std::make_shared<std::function<void()>>();
  *poll = [this, daemon, generation, deadline, poll] {
    Daemon& target = daemons_[daemon];
    if (!target.running || target.generation != generation) {
      return;
    }
    if (now_ > deadline - 9 &&
        (policy(daemon).handed_over() || now_ >= deadline)) {
      target.running = false;
      AnnounceState(daemon, MemberState::kLeaving, true, 0.1);
      return;
    }
    Schedule(now_ + 0.1, *poll);
  };
  Schedule(now_ + 0.1, *poll);
}

void Model::PartitionNetwork(const std::set<int>& side) {
  partition_side_ = side;
}

std::uint64_t Model::live_flows() const {
  return static_cast<std::uint64_t>(
      std::count_if(flows_.begin(), flows_.end(),
                    [](const auto& f) { return f->established && !f->ended; }));
}

void Model::SetView(int daemon) {
  policy(daemon).ApplyMembers(daemons_[daemon].view, Time());
}

void Model::AnnounceState(int daemon,
                          MemberState state,
                          bool dead,
                          double delay) {
  const std::string name = daemons_[daemon].name;
  const std::string zone = daemons_[daemon].zone;
  const int generation = daemons_[daemon].generation;
  for (int i = 0; i < static_cast<int>(daemons_.size()); ++i) {
    if (!daemons_[i].running) {
      continue;
    }
    RunOnDaemon(i, now_ + delay + Random(0.3 * delay), [=, this] {
      if (daemons_[daemon].generation != generation) {
        return;
      }
      std::vector<Member>& view = daemons_[i].view;
      std::erase_if(view, [&](const Member& m) { return m.name == name; });
      if (!dead) {
        view.push_back({name, zone, state, 0});
      }
      SetView(i);
    });
  }
}

void Model::Tick(int daemon) {
  policy(daemon).OnTick(Time());
  SendMessages(daemon);
  RunOnDaemon(daemon, now_ + kTickSeconds, [this, daemon] { Tick(daemon); });
}

void Model::SendMessages(int daemon) {
  for (OutgoingMessage& message : policy(daemon).TakeMessages()) {
    for (int i = 0; i < static_cast<int>(daemons_.size()); ++i) {
      if (daemons_[i].name != message.to || !daemons_[i].running ||
          !Connected(daemon, i) || Chance(options_.control_loss)) {
        continue;
      }
      // A control stream between two daemons keeps the order of its messages.
      double& arrival = control_arrival_[{daemon, i}];
      arrival = std::max(arrival, now_ + Random(options_.control_delay));
      RunOnDaemon(
          i, arrival,
          [this, i, from = daemons_[daemon].name, bytes = message.bytes] {
            policy(i).OnMessage(from, bytes, Time());
            SendMessages(i);
          });
    }
  }
}

FlowPacket Model::PacketOf(const Flow& flow, bool syn, bool fin) const {
  FlowPacket packet = MakePacket(flow.id, syn, fin);
  packet.service_address = flow.service;
  return packet;
}

void Model::OpenFlow() {
  if (!opening_) {
    return;
  }
  auto flow = std::make_shared<Flow>();
  flow->id = next_flow_++;
  const auto& services = published_->services;
  auto service = services.begin();
  std::advance(service,
               static_cast<std::ptrdiff_t>(random_() % services.size()));
  flow->service = service->second.addresses.front();
  flow->service_name = service->first;
  flow->ends_at = now_ + Random(2 * options_.flow_seconds);
  flows_.push_back(flow);
  ++report_.opened;
  SendOpening(flow);
  Schedule(now_ + Random(2 / options_.flows_per_second),
           [this] { OpenFlow(); });
}

void Model::SendOpening(const std::shared_ptr<Flow>& flow) {
  if (flow->ended || flow->established) {
    return;
  }
  if (++flow->attempts > kSynAttempts) {
    flow->ended = true;
    ++report_.never_established;
    return;
  }
  SendPacket(flow, PacketOf(*flow, true, false));
  Schedule(now_ + kSynTimeout, [this, flow] { SendOpening(flow); });
}

void Model::SendData(const std::shared_ptr<Flow>& flow) {
  if (flow->ended) {
    return;
  }
  const bool last = now_ >= flow->ends_at;
  SendPacket(flow, PacketOf(*flow, false, last));
  if (last) {
    flow->ended = true;
    ++report_.finished;
    return;
  }
  Schedule(now_ + Random(2 * options_.packet_interval),
           [this, flow] { SendData(flow); });
}

void Model::SendPacket(const std::shared_ptr<Flow>& flow,
                       const FlowPacket& packet) {
  const int copies = Chance(options_.packet_duplicates) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    const int daemon = RandomDaemon();
    if (daemon < 0) {
      return;
    }
    RunOnDaemon(daemon, now_ + Random(options_.packet_delay),
                [this, daemon, flow, packet] {
                  ApplyDecision(daemon, flow, packet,
                                policy(daemon).OnPacket(packet, Time()));
                });
  }
}

void Model::ApplyDecision(int daemon,
                          const std::shared_ptr<Flow>& flow,
                          const FlowPacket& packet,
                          const Decision& decision) {
  if (decision.action == Action::kReset) {
    OnReset(flow, daemon);
    return;
  }
  if (decision.action == Action::kForward) {
    Schedule(now_ + Random(options_.packet_delay),
             [this, daemon, flow, packet, server = decision.server] {
               DeliverToServer(daemon, flow, packet, server);
             });
    return;
  }
  if (decision.action != Action::kRelay) {
    return;
  }
  for (int i = 0; i < static_cast<int>(daemons_.size()); ++i) {
    if (daemons_[i].name == decision.member && daemons_[i].running &&
        Connected(daemon, i)) {
      RunOnDaemon(i, now_ + Random(options_.packet_delay),
                  [this, i, flow, packet, header = decision.header] {
                    ApplyDecision(i, flow, packet,
                                  policy(i).OnRelayed(packet, header, Time()));
                  });
    }
  }
}

void Model::DeliverToServer(int daemon,
                            const std::shared_ptr<Flow>& flow,
                            const FlowPacket& packet,
                            const Endpoint& address) {
  const config::BackendServer* server = nullptr;
  for (const auto& [name, candidate] : published_->servers) {
    if (candidate.address == address) {
      server = &candidate;
    }
  }
  if (server == nullptr) {
    // The server was deleted, so the packet is lost.
    return;
  }
  const config::Service& service = published_->services.at(flow->service_name);
  const bool serves = std::any_of(
      service.servers.begin(), service.servers.end(),
      [&](const config::ServiceMember& m) { return m.server == server->name; });
  if (!serves) {
    ++report_.misdelivered;
    if (report_.first_failure.empty()) {
      report_.first_failure =
          fmt::format("{:.3f} s: flow {} of service {} reached server {}", now_,
                      flow->id, flow->service_name, server->name);
    }
    return;
  }
  const auto out = out_since_.find(server->name);
  if (out != out_since_.end() && now_ - out->second > kLateSeconds) {
    ++report_.late_packets_to_out;
  }
  if (flow->ended) {
    return;
  }
  if (!flow->reached) {
    const auto draining = draining_since_.find(server->name);
    if (draining != draining_since_.end() &&
        now_ - draining->second > kLateSeconds) {
      ++report_.late_new_flows_to_draining;
      if (report_.first_failure.empty()) {
        report_.first_failure =
            fmt::format("{:.3f} s: new flow {} on draining server {} by b{}",
                        now_, flow->id, server->name, daemon);
      }
    }
    flow->reached = true;
    flow->server = address;
    flow->server_created = server->created;
  } else if (flow->server != address ||
             flow->server_created != server->created) {
    const bool lives =
        std::any_of(published_->servers.begin(), published_->servers.end(),
                    [&](const auto& s) {
                      return s.second.address == flow->server &&
                             s.second.created == flow->server_created &&
                             AcceptsPackets(*published_, s.second);
                    });
    if (lives) {
      RecordBrokenFlow(
          flow, fmt::format("sent to {} instead of {} by b{}{}",
                            IpToString(address.ip), IpToString(flow->server.ip),
                            daemon, packet.flags.syn ? " (SYN)" : ""));
    } else {
      flow->ended = true;
      ++report_.given_up;
    }
    return;
  }
  FlowPacket reply = packet;
  reply.flags = TcpFlags{packet.flags.syn, true, false, false};
  RunOnDaemon(daemon, now_ + Random(options_.packet_delay),
              [this, daemon, flow, reply, address] {
                const ReplyDecision decision =
                    policy(daemon).OnReply(address, reply, Time());
                if (!decision.accept || flow->established || flow->ended) {
                  return;
                }
                flow->established = true;
                ++report_.established;
                SendData(flow);
              });
}

void Model::OnReset(const std::shared_ptr<Flow>& flow, int daemon) {
  if (flow->ended || !flow->established) {
    return;
  }
  const auto found =
      std::find_if(published_->servers.begin(), published_->servers.end(),
                   [&](const auto& s) {
                     return s.second.address == flow->server &&
                            s.second.created == flow->server_created;
                   });
  if (found != published_->servers.end() &&
      AcceptsPackets(*published_, found->second)) {
    RecordBrokenFlow(
        flow, fmt::format("reset by b{} although server {} accepts packets",
                          daemon, found->first));
    return;
  }
  flow->ended = true;
  ++report_.given_up;
}

void Model::RecordBrokenFlow(const std::shared_ptr<Flow>& flow,
                             const std::string& why) {
  flow->ended = true;
  ++report_.broken;
  if (report_.first_failure.empty()) {
    report_.first_failure = fmt::format("{:.3f} s: flow {} ({} SYNs sent): {}",
                                        now_, flow->id, flow->attempts, why);
  }
}

}  // namespace gcw::routing::testing
