#include "src/lab/backend_server.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "gcw/base/hash.h"
#include "src/lab/inner_packet.h"
#include "src/lab/messages.h"

namespace gcw::lab {
namespace {

constexpr std::size_t kPartBytes = 1100;
constexpr double kLongestServiceFactor = 3;
// A daemon that was told of a restart has this long to act on it.
constexpr absl::Duration kEvidenceGrace = absl::Milliseconds(100);
constexpr absl::Duration kFlowRateWindow = absl::Seconds(1);
constexpr absl::Duration kLoadHistory = absl::Seconds(15);

struct Connection {
  std::uint64_t id = 0;
  bool silent = false;
};

struct Run {
  RequestMessage request;
  Endpoint from;
  std::optional<DaemonIndex> daemon;
  absl::Time began;
};

struct LoadSample {
  absl::Time when;
  LoadReport report;
};

using FlowKey = std::pair<Endpoint, Endpoint>;  // Caller, service address.

}  // namespace

class BackendServer::Impl {
 public:
  Impl(const Context& context, ServerIndex index, std::uint64_t seed, Send send)
      : scheduler_(*context.scheduler),
        world_(*context.world),
        ledger_(*context.ledger),
        requests_(*context.requests),
        meter_(*context.meter),
        info_(context.world->topology().servers[index]),
        index_(index),
        random_(seed),
        send_(std::move(send)) {}

  ServerTruth& truth() { return world_.server(index_); }
  std::uint64_t incarnation() const {
    return world_.server(index_).incarnation;
  }

  bool IsCold() const { return scheduler_.now() < cold_since_ + cold_.length; }

  double BorneShare() const {
    if (!IsCold()) {
      return 1;
    }
    const double progress =
        absl::FDivDuration(scheduler_.now() - cold_since_, cold_.length);
    return cold_.first_share + (1 - cold_.first_share) * progress;
  }

  int BorneSlots() const {
    return std::max(1, static_cast<int>(info_.slots * BorneShare()));
  }

  // Daemons can act on a cold start only after a sign of it.
  bool ColdIsKnown() const {
    return IsCold() && scheduler_.now() > evidence_ + kEvidenceGrace;
  }

  void Transmit(Bytes payload, const Endpoint& to) {
    evidence_ = std::min(evidence_, scheduler_.now());
    send_(std::move(payload), to);
  }

  // Flow packets.

  void OnFlowPacket(std::span<const std::uint8_t> bytes,
                    const Endpoint& from,
                    std::optional<DaemonIndex> daemon) {
    const auto packet = DecodePacket(bytes);
    if (!packet || !packet->is_tcp) {
      ledger_.Malformed(fmt::format("{}: flow packet", info_.name));
      return;
    }
    const ServiceIndex service =
        world_.topology().FindServiceByAddress(packet->destination);
    if (!world_.Serves(index_, service)) {
      ledger_.Misdelivered(
          index_, fmt::format("a packet of {} to {}", ToString(packet->source),
                              ToString(packet->destination)));
      return;
    }
    const FlowKey key(packet->source, packet->destination);
    if ((packet->flags & kTcpSyn) != 0) {
      OnSyn(*packet, key, service, from, daemon);
      return;
    }
    const auto found = connections_.find(key);
    if (found == connections_.end()) {
      if ((packet->flags & kTcpRst) == 0) {
        Reply(*packet, kTcpRst | kTcpAck, 0, from);
      }
      return;
    }
    OnConnectionPacket(*packet, found->second, from);
  }

  void OnSyn(const InnerPacket& packet,
             const FlowKey& key,
             ServiceIndex service,
             const Endpoint& from,
             std::optional<DaemonIndex> daemon) {
    const auto found = connections_.find(key);
    if (found != connections_.end()) {
      if (!found->second.silent) {
        Reply(packet, kTcpSyn | kTcpAck, found->second.id, from);
      }
      return;
    }
    if (static_cast<int>(connections_.size()) >= info_.connections) {
      return;  // A full server drops first packets.
    }
    ledger_.NewWork(index_, daemon,
                    fmt::format("flow {}", ToString(packet.source)));
    meter_.NewFlow(service, index_);
    NoteFlowRate();
    const std::uint64_t id = MixHash(incarnation(), ++connection_count_);
    connections_[key] = {id, false};
    Reply(packet, kTcpSyn | kTcpAck, id, from);
  }

  void OnConnectionPacket(const InnerPacket& packet,
                          const Connection& connection,
                          const Endpoint& from) {
    if (connection.silent) {
      return;
    }
    if ((packet.flags & kTcpRst) != 0) {
      connections_.erase({packet.source, packet.destination});
      return;
    }
    const std::uint64_t id = connection.id;
    if ((packet.flags & kTcpFin) != 0) {
      connections_.erase({packet.source, packet.destination});
      Reply(packet, kTcpFin | kTcpAck, id, from);
      return;
    }
    Reply(packet, kTcpPsh | kTcpAck, id, from);
  }

  void Reply(const InnerPacket& packet,
             int flags,
             std::uint64_t connection,
             const Endpoint& to) {
    const Bytes payload =
        EncodeFlowReply({static_cast<std::uint32_t>(index_), packet.seq,
                         connection, incarnation()});
    InnerPacket reply;
    reply.source = packet.destination;
    reply.destination = packet.source;
    reply.flags = static_cast<std::uint8_t>(flags);
    reply.ack = packet.seq + 1;
    reply.payload = payload;
    Transmit(EncodePacket(reply), to);
  }

  void NoteFlowRate() {
    const absl::Time now = scheduler_.now();
    recent_flows_.push_back(now);
    while (recent_flows_.front() < now - kFlowRateWindow) {
      recent_flows_.pop_front();
    }
    if (ColdIsKnown() && flow_rate_ > 0) {
      // What arrived before the restart was known is not held against anyone.
      const auto known = std::count_if(
          recent_flows_.begin(), recent_flows_.end(),
          [&](absl::Time t) { return t > evidence_ + kEvidenceGrace; });
      meter_.RecordColdLoad(static_cast<double>(known) /
                            (flow_rate_ * BorneShare()));
    }
  }

  // Requests.

  void OnMessage(std::span<const std::uint8_t> bytes,
                 const Endpoint& from,
                 std::optional<DaemonIndex> daemon) {
    const auto message = Decode(bytes);
    if (!message) {
      ledger_.Malformed(fmt::format("{}: message", info_.name));
      return;
    }
    if (const auto* request = std::get_if<RequestMessage>(&*message)) {
      OnRequest(*request, from, daemon);
    } else if (const auto* cancel = std::get_if<CancelMessage>(&*message)) {
      OnCancel(*cancel);
    } else if (const auto* query = std::get_if<LoadQuery>(&*message)) {
      OnLoadQuery(*query, from);
    } else {
      ledger_.Malformed(fmt::format("{}: message type", info_.name));
    }
  }

  void OnRequest(const RequestMessage& request,
                 const Endpoint& from,
                 std::optional<DaemonIndex> daemon) {
    const ServiceIndex service = world_.topology().FindService(request.service);
    if (!world_.Serves(index_, service)) {
      ledger_.Misdelivered(
          index_, fmt::format("request {} of {}", request.id, request.service));
      return;
    }
    if (request.run.empty()) {
      ledger_.Malformed(fmt::format("{}: request without rid", request.id));
      return;
    }
    if (!seen_runs_.insert(request.run).second) {
      return;  // The network has doubled the datagram.
    }
    requests_.AttemptArrived();
    ledger_.NewWork(index_, daemon, fmt::format("request {}", request.id));
    const int held = static_cast<int>(runs_.size()) + 1;
    if (ColdIsKnown()) {
      NoteColdLoad(held, daemon, request.id);
    }
    if (held > info_.slots || request.deadline_ms <= 0 ||
        random_.Chance(behavior_.shed_share)) {
      requests_.Shed();
      Transmit(Encode(ShedMessage{request.id, request.run, info_.name,
                                  incarnation()}),
               from);
      return;
    }
    Begin(request, service, held, from, daemon);
  }

  void NoteColdLoad(int held,
                    std::optional<DaemonIndex> daemon,
                    const std::string& id) {
    const double load = static_cast<double>(held) / BorneSlots();
    meter_.RecordColdLoad(load);
    if (load > 1) {
      ledger_.AddNote(
          "cold.overload",
          fmt::format(
              "{} holds {} of {}, last {} from {}", info_.name, held,
              BorneSlots(), id,
              daemon ? world_.topology().daemons[*daemon].name : "a stranger"));
    }
  }

  void Begin(const RequestMessage& request,
             ServiceIndex service,
             int held,
             const Endpoint& from,
             std::optional<DaemonIndex> daemon) {
    requests_.RunBegan(request.id, index_, daemon);
    runs_[request.run] = {request, from, daemon, scheduler_.now()};
    absl::Duration time =
        ServiceTime(request.id,
                    world_.topology().services[service].mean_service_time) *
        behavior_.slow_factor;
    if (held > BorneSlots()) {
      time *= static_cast<double>(held) / BorneSlots();
    }
    const absl::Duration limit = absl::Milliseconds(request.deadline_ms);
    const std::string run = request.run;
    if (time > limit) {
      // The server knows the deadline and stops work that nobody awaits.
      scheduler_.After(limit, [this, run] { runs_.erase(run); });
      return;
    }
    scheduler_.After(time, [this, run, service] { Finish(run, service); });
  }

  void Finish(const std::string& run_id, ServiceIndex service) {
    const auto found = runs_.find(run_id);
    if (found == runs_.end()) {
      return;  // Cancelled or lost.
    }
    const Run run = std::move(found->second);
    runs_.erase(found);
    const absl::Duration wait = behavior_.answer_delay;
    const std::uint64_t began_as = incarnation();
    if (wait <= absl::ZeroDuration()) {
      Answer(run, service);
      return;
    }
    scheduler_.After(wait, [this, run, service, began_as] {
      if (began_as == incarnation() && truth().up) {
        Answer(run, service);
      }
    });
  }

  void Answer(const Run& run, ServiceIndex service) {
    const int size = world_.topology().services[service].answer_bytes;
    const Bytes body = AnswerBody(run.request.id, size);
    std::vector<Bytes> parts = MakeParts(run, body);
    if (!runs_.empty() && random_.Chance(behavior_.cross_share)) {
      const Endpoint other = runs_.begin()->second.from;
      SendParts(parts, other);
    }
    if (random_.Chance(behavior_.duplicate_share)) {
      SendParts(parts, run.from);
    }
    SendParts(parts, run.from);
  }

  std::vector<Bytes> MakeParts(const Run& run, const Bytes& body) const {
    AnswerMessage answer;
    answer.id = run.request.id;
    answer.run = run.request.run;
    answer.service = run.request.service;
    answer.server = info_.name;
    answer.incarnation = incarnation();
    answer.checksum = StableHash(std::span<const std::uint8_t>(body));
    answer.service_us = absl::ToInt64Microseconds(scheduler_.now() - run.began);
    answer.parts = static_cast<std::uint32_t>(
        std::max<std::size_t>(1, (body.size() + kPartBytes - 1) / kPartBytes));
    std::vector<Bytes> parts;
    for (answer.part = 0; answer.part < answer.parts; ++answer.part) {
      const std::size_t begin = answer.part * kPartBytes;
      const std::size_t end = std::min(body.size(), begin + kPartBytes);
      answer.body.assign(body.begin() + static_cast<std::ptrdiff_t>(begin),
                         body.begin() + static_cast<std::ptrdiff_t>(end));
      parts.push_back(Encode(answer));
    }
    return parts;
  }

  void SendParts(const std::vector<Bytes>& parts, const Endpoint& to) {
    for (const Bytes& part : parts) {
      Transmit(part, to);
    }
  }

  void OnCancel(const CancelMessage& cancel) {
    if (!cancel.run.empty()) {
      runs_.erase(cancel.run);
      return;
    }
    absl::erase_if(runs_, [&](const auto& entry) {
      return entry.second.request.id == cancel.id;
    });
  }

  void OnLoadQuery(const LoadQuery& query, const Endpoint& from) {
    const absl::Time now = scheduler_.now();
    LoadReport report;
    report.server = info_.name;
    report.used = static_cast<int>(runs_.size());
    report.slots = info_.slots;
    report.connections = static_cast<int>(connections_.size());
    report.incarnation = incarnation();
    load_history_.push_back({now, report});
    while (load_history_.size() > 1 &&
           load_history_[1].when <= now - behavior_.load_lag) {
      load_history_.pop_front();
    }
    while (load_history_.front().when < now - kLoadHistory) {
      load_history_.pop_front();
    }
    if (behavior_.load_lag > absl::ZeroDuration()) {
      report = load_history_.front().report;
    }
    if (behavior_.load_reporting == LoadReporting::kClaimsIdle) {
      report.used = 0;
      report.connections = 0;
    }
    if (behavior_.load_reporting == LoadReporting::kClaimsBusy) {
      report.used = info_.slots;
      report.healthy = false;
    }
    report.nonce = query.nonce;
    const bool speaks_truth =
        report.incarnation == incarnation() &&
        behavior_.load_reporting == LoadReporting::kHonest;
    if (speaks_truth) {
      Transmit(Encode(report), from);
    } else {
      send_(Encode(report), from);  // No evidence of a restart.
    }
  }

  void LoseEverything() {
    for (const auto& [id, run] : runs_) {
      requests_.RunLost(run.request.id);
    }
    runs_.clear();
    connections_.clear();
    seen_runs_.clear();
    recent_flows_.clear();
  }

  Scheduler& scheduler_;
  World& world_;
  Ledger& ledger_;
  RequestLedger& requests_;
  LoadMeter& meter_;
  const ServerInfo& info_;
  const ServerIndex index_;
  Random random_;
  Send send_;

  ServerBehavior behavior_;
  double flow_rate_ = 0;
  std::uint64_t connection_count_ = 0;
  ColdStart cold_{absl::ZeroDuration(), 1};
  absl::Time cold_since_ = absl::InfinitePast();
  absl::Time evidence_ = absl::InfinitePast();
  absl::flat_hash_map<FlowKey, Connection> connections_;
  absl::flat_hash_map<std::string, Run> runs_;
  absl::flat_hash_set<std::string> seen_runs_;
  std::deque<absl::Time> recent_flows_;
  std::deque<LoadSample> load_history_;
};

BackendServer::BackendServer(const Context& context,
                             ServerIndex index,
                             std::uint64_t seed,
                             Send send)
    : impl_(std::make_unique<Impl>(context, index, seed, std::move(send))) {}
BackendServer::~BackendServer() = default;

void BackendServer::OnDatagram(std::span<const std::uint8_t> bytes,
                               const Endpoint& from,
                               std::optional<DaemonIndex> daemon) {
  impl_->ledger_.PacketAtServer(impl_->index_, daemon);
  if (!impl_->truth().up || bytes.empty()) {
    return;
  }
  constexpr std::uint8_t kIpv4Nibble = 4;
  if (bytes[0] >> 4 == kIpv4Nibble) {
    impl_->OnFlowPacket(bytes, from, daemon);
  } else {
    impl_->OnMessage(bytes, from, daemon);
  }
}

void BackendServer::Restart(const ColdStart& cold, bool announced) {
  impl_->LoseEverything();
  ++impl_->truth().incarnation;
  impl_->cold_ = cold;
  impl_->cold_since_ = impl_->scheduler_.now();
  impl_->evidence_ =
      announced ? impl_->scheduler_.now() : absl::InfiniteFuture();
  impl_->truth().up = true;
  impl_->truth().down_since = absl::InfiniteFuture();
}

void BackendServer::Kill() {
  impl_->LoseEverything();
  impl_->truth().up = false;
  impl_->truth().down_since = impl_->scheduler_.now();
}

void BackendServer::set_behavior(const ServerBehavior& behavior) {
  impl_->behavior_ = behavior;
}

void BackendServer::set_flow_rate(double per_second) {
  impl_->flow_rate_ = per_second;
}

void BackendServer::SilenceFlows(
    double share,
    const std::function<void(const Endpoint&)>& forgotten) {
  for (auto& [key, connection] : impl_->connections_) {
    if (!connection.silent && impl_->random_.Chance(share)) {
      connection.silent = true;
      forgotten(key.first);
    }
  }
}

void BackendServer::Reassign(ServiceIndex service) {
  impl_->truth().services = {service};
}

ServerLoad BackendServer::load() const {
  return {static_cast<int>(impl_->runs_.size()), impl_->BorneSlots(),
          impl_->IsCold()};
}

std::uint64_t BackendServer::incarnation() const {
  return impl_->truth().incarnation;
}

std::size_t BackendServer::connections() const {
  return impl_->connections_.size();
}

absl::Duration BackendServer::ServiceTime(const std::string& id,
                                          absl::Duration mean) {
  constexpr std::uint64_t kSeed = 7;
  const double uniform =
      static_cast<double>(StableHash(id, kSeed) >> 11) * 0x1.0p-53;
  return mean * std::min(kLongestServiceFactor, -std::log(1.0 - uniform));
}

}  // namespace gcw::lab
