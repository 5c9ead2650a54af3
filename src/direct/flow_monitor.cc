#include "src/direct/flow_monitor.h"

#include <cstdint>
#include <optional>
#include <utility>

namespace gcw::direct {
namespace {

// A flow whose request has waited for an answer for longer than this counts as
// late. Most answers arrive within half of this time.
constexpr absl::Duration kSlowAnswerThreshold = absl::Milliseconds(120);
// A server with this many late flows (see kSlowAnswerThreshold) is suspected to
// be unreachable. A single late flow proves little: its answer may have
// arrived, with the caller acknowledging the answer only in its next request.
// This rarely happens on two flows at the same time.
constexpr std::uint32_t kMinLateFlows = 2;
// A server is suspected to be unreachable if a SYN stays unanswered for longer
// than this. The server's operating system answers SYNs, so they don't queue
// behind requests.
constexpr absl::Duration kSlowOpeningThreshold = absl::Milliseconds(60);
// Some callers acknowledge an answer only with their next request, so that the
// daemon cannot see when the answer arrives. Their flows count as waiting for
// an answer only for this long after a request.
constexpr absl::Duration kUnacknowledgedAnswerTime = absl::Milliseconds(100);
// Callers are assumed to abandon a request that has waited for this many times
// the target latency of its route.
constexpr double kAbandonLatencyFactor = 4;

// Whether the sequence number `a` comes after `b`, modulo 2^32.
bool IsAfter(std::uint32_t a, std::uint32_t b) {
  return static_cast<std::int32_t>(a - b) > 0;
}

// Whether the caller has probably abandoned a request that has waited for
// `waiting`. Callers don't announce this, so when a server is lost, many flows
// with abandoned requests remain.
bool IsAbandoned(const Flow& flow, absl::Duration waiting) {
  return flow.target_latency > absl::ZeroDuration() &&
         waiting > kAbandonLatencyFactor * flow.target_latency;
}

}  // namespace

void FlowMonitor::OnOpened(const Flow& flow, absl::Time now) {
  RecordLatency(LatencySample::Kind::kOpening, *flow.server,
                now - flow.opened_at);
  OnProgress(*flow.server, now);
}

void FlowMonitor::OnPacket(const Packet& packet, Flow& flow, absl::Time now) {
  flow.last_packet = now;
  if (IsAfter(packet.acknowledged, flow.acknowledged)) {
    OnAcknowledged(packet, flow, now);
  }
  if (packet.payload > 0) {
    OnData(packet, flow, now);
  }
}

void FlowMonitor::OnAcknowledged(const Packet& packet,
                                 Flow& flow,
                                 absl::Time now) {
  flow.acknowledged = packet.acknowledged;
  // Without payload the packet acknowledges the answer at once. If only the
  // next request acknowledges the answer, its arrival time is unknown and no
  // latency is recorded.
  const bool answer_acknowledged = flow.waiting && packet.payload == 0;
  if (answer_acknowledged) {
    RecordAnswer(packet.flow.service, flow, now);
  }
  flow.acks_answers = flow.acks_answers || answer_acknowledged;
  flow.waiting = false;
  OnProgress(*flow.server, now);
  // Other packets may acknowledge what the server sent before it was lost.
  if (answer_acknowledged && !packet.fin) {
    ColdSuspicion::OnProgress(*flow.server, flow.opened_at);
  }
}

void FlowMonitor::OnData(const Packet& packet, Flow& flow, absl::Time now) {
  ServerEntry& server = *flow.server;
  const std::uint32_t end = packet.sequence + packet.payload;
  if (IsAfter(end, flow.next_sequence)) {
    flow.next_sequence = end;
    context_.failure_detector.CountDemand(server.server.service);
    if (!flow.waiting) {
      flow.waiting = true;
      flow.waiting_since = now;
    }
    return;
  }
  events_->push_back(FlowStalled{
      .flow = packet.flow,
      .server = server.server.name,
      .waiting = flow.waiting ? now - flow.waiting_since : absl::ZeroDuration(),
      .server_silence = now - server.reach.last_progress()});
  context_.failure_detector.Suspect(server, now);
}

void FlowMonitor::OnTick(absl::Time now) {
  for (const auto& entry : context_.servers.entries()) {
    entry->waiting_flows = 0;
    entry->outstanding = 0;
    entry->late_flows = 0;
  }
  for (const auto& [key, flow] : context_.flows.flows()) {
    if (!flow.established && now - flow.opened_at > kSlowOpeningThreshold) {
      context_.failure_detector.SuspectIfSilentSince(*flow.server,
                                                     flow.opened_at, now);
    }
    if (flow.waiting && !flow.closed) {
      CountWaiting(flow, now);
    }
  }
  for (const auto& entry : context_.servers.entries()) {
    if (entry->late_flows >= kMinLateFlows && entry->reach.usable()) {
      context_.failure_detector.Suspect(*entry, now);
    }
  }
}

void FlowMonitor::CountWaiting(const Flow& flow, absl::Time now) {
  const absl::Duration waiting = now - flow.waiting_since;
  const bool counts_as_waiting =
      flow.acks_answers || waiting < kUnacknowledgedAnswerTime;
  if (counts_as_waiting && !IsAbandoned(flow, waiting)) {
    ++flow.server->waiting_flows;
    const bool within_target = flow.target_latency == absl::ZeroDuration() ||
                               waiting <= flow.target_latency;
    flow.server->outstanding += within_target ? 1 : 0;
  }
  if (flow.acks_answers && waiting > kSlowAnswerThreshold &&
      flow.server->reach.last_progress() <= flow.waiting_since) {
    ++flow.server->late_flows;
  }
}

std::vector<LatencySample> FlowMonitor::TakeLatencySamples() {
  return std::exchange(latency_samples_, {});
}

void FlowMonitor::RecordLatency(LatencySample::Kind kind,
                                const ServerEntry& server,
                                absl::Duration latency) {
  latency_samples_.push_back(
      {kind, server.server.service, server.server.name, latency});
}

void FlowMonitor::RecordAnswer(const Endpoint& route,
                               const Flow& flow,
                               absl::Time now) {
  const absl::Duration latency = now - flow.waiting_since;
  RecordLatency(LatencySample::Kind::kAnswer, *flow.server, latency);
  context_.admission_table.OnAnswer(flow.server->server.service, latency,
                                    flow.target_latency);
  const std::optional<absl::Duration> usual =
      usual_latency_.OnAnswer(route, latency, now);
  if (usual) {
    context_.server_pace.OnAnswer(*flow.server, latency, *usual, now);
  }
}

void FlowMonitor::OnProgress(ServerEntry& server, absl::Time now) {
  const bool was_lost = server.reach.lost();
  context_.failure_detector.OnProgress(server, now);
  if (was_lost) {
    context_.server_pace.OnStarted(server, now);
    context_.cold_suspicion.OnReturned(server, now);
  }
}

}  // namespace gcw::direct
