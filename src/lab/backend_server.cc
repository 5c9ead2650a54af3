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

// Most bytes of an answer's body in one datagram.
constexpr std::size_t kMaxPartBytes = 1100;
// The longest service time, as a multiple of the mean.
constexpr double kMaxServiceTimeFactor = 3;
// How long daemons have to react once they can know of a server's restart; work
// that arrives within this time doesn't count as load on a cold server.
constexpr absl::Duration kRestartReactionGrace = absl::Milliseconds(100);
// The rate of new flows during a cold start is taken over this window.
constexpr absl::Duration kFlowRateWindow = absl::Seconds(1);
// How long past load reports are kept; limits the effect of
// ServerBehavior::load_lag, the age of the values in load reports.
constexpr absl::Duration kLoadHistoryLength = absl::Seconds(15);

struct Connection {
  std::uint64_t id = 0;
  bool silent = false;  // Packets are dropped; see SilenceFlows().
};

// An attempt of a request that occupies a slot of the server.
struct Attempt {
  RequestMessage request;
  Endpoint from;
  std::optional<DaemonIndex> daemon;
  absl::Time started;
};

struct LoadSample {
  absl::Time when;
  LoadReport report;
};

// A flow at this server: the endpoint of the caller and the address of the
// service.
using FlowKey = std::pair<Endpoint, Endpoint>;

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

  // Whether the cold start after the last restart is still in progress.
  bool IsCold() const { return scheduler_.now() < cold_since_ + cold_.length; }

  // The share of the server's full capacity that is available now; below 1
  // during a cold start.
  double CapacityShare() const {
    if (!IsCold()) {
      return 1;
    }
    const double progress =
        absl::FDivDuration(scheduler_.now() - cold_since_, cold_.length);
    return cold_.first_share + (1 - cold_.first_share) * progress;
  }

  // The number of requests that the server can run at once now without slowing
  // down; at least 1.
  int EffectiveSlots() const {
    return std::max(1, static_cast<int>(info_.slots * CapacityShare()));
  }

  // Whether the server is cold and every daemon had time to learn of the
  // restart and to react.
  bool IsColdStartKnown() const {
    return IsCold() &&
           scheduler_.now() > restart_evident_at_ + kRestartReactionGrace;
  }

  // Sends a datagram from which a daemon can learn the current incarnation.
  void Transmit(Bytes payload, const Endpoint& to) {
    restart_evident_at_ = std::min(restart_evident_at_, scheduler_.now());
    send_(std::move(payload), to);
  }

  // Handling of packets of flows.

  void OnFlowPacket(std::span<const std::uint8_t> bytes,
                    const Endpoint& from,
                    std::optional<DaemonIndex> daemon) {
    const auto packet = DecodePacket(bytes);
    if (!packet || !packet->is_tcp) {
      ledger_.Malformed(
          fmt::format("{}: flow packet is no valid TCP packet", info_.name));
      return;
    }
    const ServiceIndex service =
        world_.topology().FindServiceByAddress(packet->destination);
    if (!world_.Serves(index_, service)) {
      ledger_.Misdelivered(index_, fmt::format("a packet from {} to {}",
                                               ToString(packet->source),
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
      return;  // At the limit of connections, a SYN is dropped without a reset.
    }
    ledger_.NewWork(index_, daemon,
                    fmt::format("flow {}", ToString(packet.source)));
    meter_.NewFlow(service, index_);
    RecordFlowRate();
    const std::uint64_t id = MixHash(incarnation(), ++accepted_connections_);
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

  void RecordFlowRate() {
    const absl::Time now = scheduler_.now();
    recent_flows_.push_back(now);
    while (recent_flows_.front() < now - kFlowRateWindow) {
      recent_flows_.pop_front();
    }
    if (IsColdStartKnown() && flow_rate_ > 0) {
      // Flows that arrived before daemons could react to the restart don't
      // count.
      const auto avoidable = std::count_if(
          recent_flows_.begin(), recent_flows_.end(), [&](absl::Time t) {
            return t > restart_evident_at_ + kRestartReactionGrace;
          });
      meter_.RecordColdLoad(static_cast<double>(avoidable) /
                            (flow_rate_ * CapacityShare()));
    }
  }

  // Handling of requests and load queries.

  void OnMessage(std::span<const std::uint8_t> bytes,
                 const Endpoint& from,
                 std::optional<DaemonIndex> daemon) {
    const auto message = Decode(bytes);
    if (!message) {
      ledger_.Malformed(
          fmt::format("{}: message cannot be decoded", info_.name));
      return;
    }
    if (const auto* request = std::get_if<RequestMessage>(&*message)) {
      OnRequest(*request, from, daemon);
    } else if (const auto* cancel = std::get_if<CancelMessage>(&*message)) {
      OnCancel(*cancel);
    } else if (const auto* query = std::get_if<LoadQuery>(&*message)) {
      OnLoadQuery(*query, from);
    } else {
      ledger_.Malformed(fmt::format("{}: unexpected message type", info_.name));
    }
  }

  void OnRequest(const RequestMessage& request,
                 const Endpoint& from,
                 std::optional<DaemonIndex> daemon) {
    const ServiceIndex service = world_.topology().FindService(request.service);
    if (!world_.Serves(index_, service)) {
      ledger_.Misdelivered(index_, fmt::format("request {} of service {}",
                                               request.id, request.service));
      return;
    }
    if (request.attempt_id.empty()) {
      ledger_.Malformed(fmt::format("request {} has no rid", request.id));
      return;
    }
    if (!seen_attempts_.insert(request.attempt_id).second) {
      return;  // The network duplicated the datagram.
    }
    requests_.AttemptArrived();
    ledger_.NewWork(index_, daemon, fmt::format("request {}", request.id));
    const int active = static_cast<int>(attempts_.size()) + 1;
    if (IsColdStartKnown()) {
      RecordColdLoad(active, daemon, request.id);
    }
    if (active > info_.slots || request.deadline_ms <= 0 ||
        random_.Chance(behavior_.shed_share)) {
      requests_.Shed();
      Transmit(Encode(ShedMessage{request.id, request.attempt_id, info_.name,
                                  incarnation()}),
               from);
      return;
    }
    Begin(request, service, active, from, daemon);
  }

  void RecordColdLoad(int active,
                      std::optional<DaemonIndex> daemon,
                      const std::string& id) {
    const double load = static_cast<double>(active) / EffectiveSlots();
    meter_.RecordColdLoad(load);
    if (load > 1) {
      ledger_.AddNote(
          "cold.overload",
          fmt::format("{} runs {} requests with capacity {}, last {} from {}",
                      info_.name, active, EffectiveSlots(), id,
                      daemon ? world_.topology().daemons[*daemon].name
                             : "an unknown sender"));
    }
  }

  void Begin(const RequestMessage& request,
             ServiceIndex service,
             int active,
             const Endpoint& from,
             std::optional<DaemonIndex> daemon) {
    requests_.RunBegan(request.id, index_, daemon);
    attempts_[request.attempt_id] = {request, from, daemon, scheduler_.now()};
    absl::Duration time =
        ServiceTime(request.id,
                    world_.topology().services[service].mean_service_time) *
        behavior_.slow_factor;
    if (active > EffectiveSlots()) {
      time *= static_cast<double>(active) / EffectiveSlots();
    }
    const absl::Duration limit = absl::Milliseconds(request.deadline_ms);
    const std::string attempt_id = request.attempt_id;
    if (time > limit) {
      // The server ends the attempt at the deadline without an answer, since
      // the caller no longer waits for it.
      scheduler_.After(limit,
                       [this, attempt_id] { attempts_.erase(attempt_id); });
      return;
    }
    scheduler_.After(
        time, [this, attempt_id, service] { Finish(attempt_id, service); });
  }

  void Finish(const std::string& attempt_id, ServiceIndex service) {
    const auto found = attempts_.find(attempt_id);
    if (found == attempts_.end()) {
      return;  // Cancelled, or dropped by Kill() or Restart().
    }
    const Attempt attempt = std::move(found->second);
    attempts_.erase(found);
    const absl::Duration wait = behavior_.answer_delay;
    const std::uint64_t start_incarnation = incarnation();
    if (wait <= absl::ZeroDuration()) {
      Answer(attempt, service);
      return;
    }
    scheduler_.After(wait, [this, attempt, service, start_incarnation] {
      if (start_incarnation == incarnation() && truth().up) {
        Answer(attempt, service);
      }
    });
  }

  void Answer(const Attempt& attempt, ServiceIndex service) {
    const int size = world_.topology().services[service].answer_bytes;
    const Bytes body = AnswerBody(attempt.request.id, size);
    std::vector<Bytes> parts = MakeParts(attempt, body);
    if (!attempts_.empty() && random_.Chance(behavior_.cross_share)) {
      const Endpoint other = attempts_.begin()->second.from;
      SendParts(parts, other);
    }
    if (random_.Chance(behavior_.duplicate_share)) {
      SendParts(parts, attempt.from);
    }
    SendParts(parts, attempt.from);
  }

  std::vector<Bytes> MakeParts(const Attempt& attempt,
                               const Bytes& body) const {
    AnswerMessage answer;
    answer.id = attempt.request.id;
    answer.attempt_id = attempt.request.attempt_id;
    answer.service = attempt.request.service;
    answer.server = info_.name;
    answer.incarnation = incarnation();
    answer.checksum = StableHash(std::span<const std::uint8_t>(body));
    answer.service_us =
        absl::ToInt64Microseconds(scheduler_.now() - attempt.started);
    answer.parts = static_cast<std::uint32_t>(std::max<std::size_t>(
        1, (body.size() + kMaxPartBytes - 1) / kMaxPartBytes));
    std::vector<Bytes> parts;
    for (answer.part = 0; answer.part < answer.parts; ++answer.part) {
      const std::size_t begin = answer.part * kMaxPartBytes;
      const std::size_t end = std::min(body.size(), begin + kMaxPartBytes);
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
    if (!cancel.attempt_id.empty()) {
      attempts_.erase(cancel.attempt_id);
      return;
    }
    absl::erase_if(attempts_, [&](const auto& entry) {
      return entry.second.request.id == cancel.id;
    });
  }

  void OnLoadQuery(const LoadQuery& query, const Endpoint& from) {
    const absl::Time now = scheduler_.now();
    LoadReport report;
    report.server = info_.name;
    report.used = static_cast<int>(attempts_.size());
    report.slots = info_.slots;
    report.connections = static_cast<int>(connections_.size());
    report.incarnation = incarnation();
    load_history_.push_back({now, report});
    while (load_history_.size() > 1 &&
           load_history_[1].when <= now - behavior_.load_lag) {
      load_history_.pop_front();
    }
    while (load_history_.front().when < now - kLoadHistoryLength) {
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
    const bool is_truthful = report.incarnation == incarnation() &&
                             behavior_.load_reporting == LoadReporting::kHonest;
    if (is_truthful) {
      Transmit(Encode(report), from);
    } else {
      // Bypasses Transmit(): from a false or outdated report, a daemon can't
      // learn of a restart.
      send_(Encode(report), from);
    }
  }

  void DropAllState() {
    for (const auto& [id, attempt] : attempts_) {
      requests_.RunLost(attempt.request.id);
    }
    attempts_.clear();
    connections_.clear();
    seen_attempts_.clear();
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
  std::uint64_t accepted_connections_ = 0;
  ColdStart cold_{absl::ZeroDuration(), 1};
  absl::Time cold_since_ = absl::InfinitePast();
  // Since when daemons can know of the last restart.
  absl::Time restart_evident_at_ = absl::InfinitePast();
  absl::flat_hash_map<FlowKey, Connection> connections_;
  absl::flat_hash_map<std::string, Attempt> attempts_;
  absl::flat_hash_set<std::string> seen_attempts_;
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
  impl_->DropAllState();
  ++impl_->truth().incarnation;
  impl_->cold_ = cold;
  impl_->cold_since_ = impl_->scheduler_.now();
  impl_->restart_evident_at_ =
      announced ? impl_->scheduler_.now() : absl::InfiniteFuture();
  impl_->truth().up = true;
  impl_->truth().down_since = absl::InfiniteFuture();
}

void BackendServer::Kill() {
  impl_->DropAllState();
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
    const std::function<void(const Endpoint&)>& on_silenced) {
  for (auto& [key, connection] : impl_->connections_) {
    if (!connection.silent && impl_->random_.Chance(share)) {
      connection.silent = true;
      on_silenced(key.first);
    }
  }
}

void BackendServer::Reassign(ServiceIndex service) {
  impl_->truth().services = {service};
}

ServerLoad BackendServer::load() const {
  return {static_cast<int>(impl_->attempts_.size()), impl_->EffectiveSlots(),
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
  return mean * std::min(kMaxServiceTimeFactor, -std::log(1.0 - uniform));
}

}  // namespace gcw::lab
