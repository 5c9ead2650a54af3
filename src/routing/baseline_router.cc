#include "src/routing/baseline_router.h"

namespace gcw::routing {

namespace {

// Slots of the flow table that are cleared to make room when the table is full.
constexpr std::uint32_t kEvictionSweepSteps = 64;

}  // namespace

BaselineRouter::BaselineRouter(const RouterOptions& options) {
  if (options.policy == "local") {
    flows_.emplace(options.max_flows);
  }
}

void BaselineRouter::ApplySnapshot(config::SnapshotPtr snapshot,
                                   absl::Time now) {
  if (snapshot->revision <= revision_) {
    return;
  }
  revision_ = snapshot->revision;
  registry_.Apply(*snapshot);
  directory_.Apply(*snapshot, registry_, now);
  for (const auto& service : directory_.services()) {
    service->Activate(revision_, now);
    service->Recompute(registry_, now);
  }
}

void BaselineRouter::ApplyMembers(std::span<const Member> /*members*/,
                                  absl::Time /*now*/) {}

void BaselineRouter::NoteConfigurationCurrent(absl::Time /*now*/) {}

void BaselineRouter::SetServerShareLimits(
    std::span<const ServerShareLimit> /*limits*/,
    absl::Time /*now*/) {}

Decision BaselineRouter::OnPacket(const FlowPacket& packet,
                                  absl::Time /*now*/) {
  Decision decision;
  const ServiceAddress* address = directory_.Find(packet.service_address);
  if (address == nullptr) {
    ++counts_.drops;
    decision.code = ResultCode::kUnknownService;
    return decision;
  }
  const ServiceTables& service = *address->service;
  const FlowKey key = FlowKeyOf(packet.source, packet.service_address);
  const FlowEntry* entry = flows_ ? flows_->Find(key) : nullptr;
  const bool opening = packet.flags.syn && !packet.flags.ack;
  const bool known = entry != nullptr && entry->service == service.index() &&
                     registry_.accepts_packets(entry->server);
  const ServerIndex server =
      known ? entry->server : service.NewestServerOf(key);
  if (!registry_.accepts_packets(server)) {
    ++counts_.resets;
    decision.action = Action::kReset;
    decision.code = ResultCode::kNoServer;
    return decision;
  }
  if (flows_ && !known) {
    StoreEntry(key, server, service.index());
  }
  ServerIncarnation& incarnation = registry_.at(server);
  ++counts_.forwarded;
  if (opening && !known) {
    ++counts_.new_flows;
    ++incarnation.placed;
  }
  decision.action = Action::kForward;
  decision.new_flow = opening && !known;
  decision.server = incarnation.address;
  decision.server_name = incarnation.name;
  decision.service_name = service.name();
  return decision;
}

Decision BaselineRouter::OnRelayed(const FlowPacket& packet,
                                   const RelayHeader& /*header*/,
                                   absl::Time now) {
  ++counts_.relay_received;
  return OnPacket(packet, now);
}

ReplyDecision BaselineRouter::OnReply(const Endpoint& server,
                                      const FlowPacket& reply,
                                      absl::Time /*now*/) {
  const ServiceAddress* address = directory_.Find(reply.service_address);
  const ServerIndex index = registry_.FindByAddress(server);
  if (address == nullptr || index == kNoServer ||
      !address->service->Serves(index)) {
    ++counts_.refused_replies;
    return {false, ResultCode::kUnknownService};
  }
  return {true, ResultCode::kOk};
}

void BaselineRouter::OnMessage(std::string_view /*from*/,
                               std::span<const std::uint8_t> /*bytes*/,
                               absl::Time /*now*/) {}

void BaselineRouter::OnTick(absl::Time /*now*/) {}

std::vector<OutgoingMessage> BaselineRouter::TakeMessages() {
  return {};
}

bool BaselineRouter::handed_over() const {
  return true;
}

RouterStats BaselineRouter::Stats() const {
  RouterStats stats = counts_;
  stats.revision = revision_;
  stats.services = directory_.services().size();
  stats.flows = flows_ ? flows_->size() : 0;
  stats.flow_bytes = flows_ ? flows_->bytes() : 0;
  stats.fresh = true;
  stats.complete = true;
  for (ServerIndex i = 0; i < registry_.size(); ++i) {
    const ServerIncarnation& incarnation = registry_.at(i);
    if (incarnation.accepts_packets) {
      stats.servers.push_back(
          {incarnation.name, incarnation.flows, incarnation.placed});
    }
  }
  return stats;
}

FlowEntry* BaselineRouter::StoreEntry(FlowKey key,
                                      ServerIndex server,
                                      std::uint32_t service) {
  FlowEntry* entry = flows_->Insert(key);
  if (entry == nullptr) {
    flows_->Sweep(kEvictionSweepSteps, [](const FlowEntry&) { return true; });
    entry = flows_->Insert(key);
  }
  if (entry != nullptr) {
    *entry = FlowEntry{};
    entry->key = key;
    entry->server = server;
    entry->service = service;
  }
  return entry;
}

}  // namespace gcw::routing
