#include "src/lab/flow_callers.h"

#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "src/lab/fabric.h"

namespace gcw::lab {
namespace {

constexpr absl::Duration kInitialRetransmissionTimeout =
    absl::Milliseconds(300);
constexpr absl::Duration kMaxRetransmissionTimeout = absl::Seconds(2);
constexpr int kMaxSynAttempts = 5;
constexpr int kMaxFinAttempts = 4;
// An established flow counts as broken if a packet gets no answer for this long
// while a path to the flow's server exists.
constexpr absl::Duration kUnansweredTimeout = absl::Seconds(6);
// A flow that lost its network state counts as stuck unless the flow is reset
// within this time.
constexpr absl::Duration kSilentResetTimeout = absl::Seconds(15);
// Flows that are open at the end of the load close at random times within this
// period instead of in one burst.
constexpr absl::Duration kClosePeriod = absl::Seconds(1);
// Quiet flows multiply the interval between their packets by this factor.
constexpr int kQuietIntervalFactor = 8;
constexpr std::uint32_t kCallerHostCount = 1 << 20;
constexpr std::uint32_t kPortCount = 60000;
constexpr std::uint16_t kFirstPort = 1024;
constexpr std::size_t kDataBytes = 64;

enum class State { kOpening, kOpen, kClosing };

// Why a flow may break without counting as broken.
enum class Exemption {
  kNone,
  kGivenUp,   // The server was lost or taken out of service.
  kSilenced,  // The network lost the state of the flow.
};

struct Flow {
  Endpoint caller;
  ServiceIndex service = 0;
  ZoneIndex zone = 0;
  State state = State::kOpening;
  Exemption exemption = Exemption::kNone;
  absl::Time end;
  absl::Duration interval;
  ServerIndex server = 0;
  std::uint64_t connection = 0;
  std::uint32_t seq = 0;
  bool waiting = false;  // Whether the answer to `seq` is outstanding.
  absl::Time waiting_since;
  absl::Time silent_since;
  bool reset_by_other_server = false;  // Reset while the flow closed.
  int attempts = 0;
};

}  // namespace

class FlowCallers::Impl {
 public:
  Impl(Scheduler& scheduler,
       const World& world,
       Ledger& ledger,
       const LoadSettings& load,
       std::uint64_t seed,
       Send send)
      : scheduler_(scheduler),
        world_(world),
        ledger_(ledger),
        load_(load),
        random_(seed),
        send_(std::move(send)) {}

  void OpenNext() {
    if (scheduler_.now() >= end_ || load_.flows_per_s <= 0) {
      return;
    }
    const ZoneIndex zone = random_.Below(world_.topology().zones.size());
    const bool is_long = random_.Chance(load_.long_flow_share);
    absl::Time end = end_ + kClosePeriod * random_.Uniform();
    if (!is_long) {
      end = std::min(
          end, scheduler_.now() + random_.Exponential(load_.short_flow_mean));
    }
    Open(ChooseService(), zone, end);
    // Counts from the scheduled time of this arrival, not from now, so that a
    // late timer does not lower the rate.
    next_open_ += absl::Seconds(random_.Exponential(1 / load_.flows_per_s));
    scheduler_.At(next_open_, [this] { OpenNext(); });
  }

  ServiceIndex ChooseService() {
    double remaining_share = random_.Uniform();
    const auto& services = world_.topology().services;
    for (ServiceIndex i = 0; i < services.size(); ++i) {
      remaining_share -= services[i].flow_share;
      if (remaining_share < 0) {
        return i;
      }
    }
    return 0;
  }

  void Open(ServiceIndex service, ZoneIndex zone, absl::Time end) {
    Flow flow;
    do {
      flow.caller.ip =
          Fabric::CallerNetwork(zone) |
          static_cast<std::uint32_t>(random_.Below(kCallerHostCount));
      flow.caller.port =
          static_cast<std::uint16_t>(kFirstPort + random_.Below(kPortCount));
    } while (flows_.contains(flow.caller));
    flow.service = service;
    flow.zone = zone;
    flow.end = end;
    flow.interval = load_.flow_packet_interval;
    if (random_.Chance(load_.quiet_flow_share)) {
      flow.interval *= kQuietIntervalFactor;
    }
    flow.seq = static_cast<std::uint32_t>(random_.Below(1U << 30));
    const Endpoint key = flow.caller;
    Flow& stored = flows_.emplace(key, flow).first->second;
    SendNow(stored);
  }

  Flow* Find(const Endpoint& caller) {
    const auto found = flows_.find(caller);
    return found == flows_.end() ? nullptr : &found->second;
  }

  // Sends the current packet of the flow and schedules its retransmission.
  void SendNow(Flow& flow) {
    if (!flow.waiting) {
      flow.waiting = true;
      flow.waiting_since = scheduler_.now();
      flow.attempts = 0;
    }
    ++flow.attempts;
    static const Bytes data(kDataBytes, 0x2a);
    InnerPacket packet;
    packet.source = flow.caller;
    packet.destination = world_.topology().services[flow.service].address;
    packet.seq = flow.seq;
    packet.flags = kTcpAck;
    if (flow.state == State::kOpening) {
      packet.flags = kTcpSyn;
    } else if (flow.state == State::kClosing) {
      packet.flags = kTcpFin | kTcpAck;
    } else {
      packet.flags = kTcpPsh | kTcpAck;
      packet.payload = data;
    }
    absl::Duration wait =
        kInitialRetransmissionTimeout * (1 << std::min(flow.attempts - 1, 4));
    wait = std::min(wait, kMaxRetransmissionTimeout);
    const Endpoint key = flow.caller;
    const std::uint32_t seq = flow.seq;
    scheduler_.After(wait, [this, key, seq] { Retransmit(key, seq); });
    send_(flow.zone, EncodePacket(packet));
  }

  void Retransmit(const Endpoint& key, std::uint32_t seq) {
    Flow* flow = Find(key);
    if (flow == nullptr || !flow->waiting || flow->seq != seq) {
      return;
    }
    if (flow->state == State::kOpening && flow->attempts >= kMaxSynAttempts) {
      ledger_.FlowNotOpened();
      flows_.erase(key);
      return;
    }
    if (flow->state == State::kClosing && flow->attempts >= kMaxFinAttempts) {
      if (flow->reset_by_other_server && flow->exemption == Exemption::kNone) {
        ledger_.FlowBroken("not closed: " + Describe(*flow));
      }
      flows_.erase(key);
      return;
    }
    if (flow->state == State::kOpen && !ShouldKeepWaiting(*flow)) {
      flows_.erase(key);
      return;
    }
    SendNow(*flow);
  }

  // Returns whether an established flow without an answer stays open. Counts a
  // flow that waited too long as broken or stuck.
  bool ShouldKeepWaiting(Flow& flow) {
    const absl::Time now = scheduler_.now();
    if (flow.exemption == Exemption::kGivenUp) {
      return now < flow.end;
    }
    if (flow.exemption == Exemption::kSilenced) {
      if (now < flow.silent_since + kSilentResetTimeout) {
        return true;
      }
      ledger_.FlowSilentStuck(Describe(flow));
      return false;
    }
    if (!world_.PathExists(flow.zone, flow.server)) {
      flow.waiting_since = now;
      return true;
    }
    if (now < flow.waiting_since + kUnansweredTimeout) {
      return true;
    }
    ledger_.FlowBroken("no answer: " + Describe(flow));
    return false;
  }

  void OnPacket(const InnerPacket& packet) {
    Flow* flow = Find(packet.destination);
    if (flow == nullptr ||
        packet.source != world_.topology().services[flow->service].address) {
      return;
    }
    const auto reply = DecodeFlowReply(packet.payload);
    if ((packet.flags & kTcpRst) != 0) {
      OnReset(*flow, reply);
      return;
    }
    if (!reply) {
      return;
    }
    if (flow->state == State::kOpening) {
      if ((packet.flags & kTcpSyn) != 0) {
        Establish(*flow, *reply);
      }
      return;
    }
    if (reply->server != flow->server ||
        reply->connection != flow->connection) {
      ledger_.FlowAtSecondServer(
          fmt::format("{} and {}", Describe(*flow),
                      world_.topology().servers[reply->server].name));
      return;
    }
    if (flow->waiting && reply->seq == flow->seq) {
      CompletePacket(*flow);
    }
  }

  void Establish(Flow& flow, const FlowReply& reply) {
    flow.state = State::kOpen;
    flow.server = reply.server;
    flow.connection = reply.connection;
    ledger_.FlowOpened();
    if (!world_.KeepsConnections(flow.server, reply.incarnation)) {
      // The server was lost, or its zone taken out, while the answer to the SYN
      // was in flight.
      flow.exemption = Exemption::kGivenUp;
      ledger_.FlowGivenUp();
    }
    CompletePacket(flow);
  }

  // Handles the answer to the current packet: forgets a closing flow, otherwise
  // schedules the next packet.
  void CompletePacket(Flow& flow) {
    flow.waiting = false;
    ++flow.seq;
    if (flow.state == State::kClosing) {
      flows_.erase(Endpoint(flow.caller));
      return;
    }
    const absl::Time next = std::min(
        flow.end, scheduler_.now() + flow.interval * (0.5 + random_.Uniform()));
    const Endpoint key = flow.caller;
    const std::uint32_t seq = flow.seq;
    scheduler_.At(next, [this, key, seq] { SendNext(key, seq); });
  }

  void SendNext(const Endpoint& key, std::uint32_t seq) {
    Flow* flow = Find(key);
    if (flow == nullptr || flow->seq != seq || flow->waiting) {
      return;
    }
    if (scheduler_.now() >= flow->end) {
      if (finished_) {
        return;
      }
      flow->state = State::kClosing;
    }
    SendNow(*flow);
  }

  void OnReset(Flow& flow, const std::optional<FlowReply>& reply) {
    const Endpoint key = flow.caller;
    if (flow.state == State::kOpening) {
      ledger_.FlowRefused();
    } else if (flow.state == State::kClosing) {
      // The flow's own server sends a reset if it accepted an earlier FIN and
      // forgot the flow. A reset by another server means that a FIN was
      // misrouted: the flow is broken if its own server never answers a FIN.
      if (reply && reply->server != flow.server) {
        flow.reset_by_other_server = true;
        return;
      }
    } else if (flow.exemption == Exemption::kNone) {
      const std::string by =
          reply ? world_.topology().servers[reply->server].name : "a daemon";
      ledger_.FlowBroken(fmt::format("reset by {}: {}", by, Describe(flow)));
    }
    flows_.erase(key);
  }

  std::string Describe(const Flow& flow) const {
    return fmt::format("flow {} of {} on {}", ToString(flow.caller),
                       world_.topology().services[flow.service].name,
                       world_.topology().servers[flow.server].name);
  }

  Scheduler& scheduler_;
  const World& world_;
  Ledger& ledger_;
  LoadSettings load_;
  Random random_;
  Send send_;
  absl::Time end_;
  absl::Time next_open_;
  bool finished_ = false;
  absl::flat_hash_map<Endpoint, Flow> flows_;
};

FlowCallers::FlowCallers(Scheduler& scheduler,
                         const World& world,
                         Ledger& ledger,
                         const LoadSettings& load,
                         std::uint64_t seed,
                         Send send)
    : impl_(std::make_unique<Impl>(scheduler,
                                   world,
                                   ledger,
                                   load,
                                   seed,
                                   std::move(send))) {}
FlowCallers::~FlowCallers() = default;

void FlowCallers::Start(absl::Time end) {
  impl_->end_ = end;
  impl_->next_open_ = impl_->scheduler_.now();
  impl_->OpenNext();
}

void FlowCallers::Open(ServiceIndex service, ZoneIndex zone, absl::Time end) {
  impl_->Open(service, zone, end);
}

void FlowCallers::OnPacket(const InnerPacket& packet) {
  impl_->OnPacket(packet);
}

void FlowCallers::GiveUpFlowsOf(ServerIndex server) {
  for (auto& [key, flow] : impl_->flows_) {
    const bool established = flow.state != State::kOpening;
    if (established && flow.server == server &&
        flow.exemption != Exemption::kGivenUp) {
      flow.exemption = Exemption::kGivenUp;
      impl_->ledger_.FlowGivenUp();
    }
  }
}

void FlowCallers::OnFlowSilenced(const Endpoint& caller) {
  Flow* flow = impl_->Find(caller);
  if (flow == nullptr || flow->state != State::kOpen ||
      flow->exemption != Exemption::kNone) {
    return;
  }
  flow->exemption = Exemption::kSilenced;
  flow->silent_since = impl_->scheduler_.now();
  // The caller keeps the flow open: the load balancer must detect that the
  // flow's network state was lost and reset the flow.
  flow->end = absl::InfiniteFuture();
  impl_->ledger_.FlowSilent();
}

void FlowCallers::Finish() {
  impl_->finished_ = true;
  for (const auto& [key, flow] : impl_->flows_) {
    const bool overdue = flow.state == State::kOpen && flow.waiting &&
                         flow.exemption == Exemption::kNone &&
                         flow.attempts > 2;
    if (overdue && impl_->world_.PathExists(flow.zone, flow.server)) {
      impl_->ledger_.FlowBroken("no answer at the end: " +
                                impl_->Describe(flow));
    }
    if (flow.exemption == Exemption::kSilenced &&
        impl_->scheduler_.now() >= flow.silent_since + kSilentResetTimeout) {
      impl_->ledger_.FlowSilentStuck(impl_->Describe(flow));
    }
  }
}

std::size_t FlowCallers::open_flows() const {
  return impl_->flows_.size();
}

}  // namespace gcw::lab
