#include "src/direct/flow_table.h"

#include <cassert>

namespace gcw::direct {
namespace {

// A flow that its caller has closed is erased after this time without a packet.
// The last packets of the flow arrive earlier.
constexpr absl::Duration kClosedFlowRetention = absl::Seconds(3);

void Attach(Flow& flow, ServerEntry* server) {
  flow.server = server;
  flow.closed = false;
  ++server->open_flows;
  ++server->flow_refs;
}

void Detach(const Flow& flow) {
  if (!flow.closed) {
    --flow.server->open_flows;
  }
  --flow.server->flow_refs;
}

}  // namespace

Flow* FlowTable::Find(const FlowKey& key) {
  const auto it = flows_.find(key);
  return it == flows_.end() ? nullptr : &it->second;
}

Flow* FlowTable::Add(const FlowKey& key, ServerEntry* server, absl::Time now) {
  if (flows_.size() >= max_flows_) {
    return nullptr;
  }
  const auto [it, added] = flows_.try_emplace(key);
  assert(added);
  Flow& flow = it->second;
  Attach(flow, server);
  flow.opened_at = now;
  flow.last_packet = now;
  return &flow;
}

void FlowTable::Reassign(Flow& flow, ServerEntry* server) {
  Detach(flow);
  Attach(flow, server);
}

void FlowTable::Move(const ServerEntry& from,
                     ServerEntry& to,
                     absl::Time since) {
  for (auto& [key, flow] : flows_) {
    if (flow.server == &from && !flow.closed && flow.opened_at >= since) {
      Reassign(flow, &to);
    }
  }
}

void FlowTable::Close(Flow& flow) {
  if (!flow.closed) {
    flow.closed = true;
    --flow.server->open_flows;
  }
}

void FlowTable::Erase(const FlowKey& key) {
  const auto it = flows_.find(key);
  if (it == flows_.end()) {
    return;
  }
  Detach(it->second);
  flows_.erase(it);
}

void FlowTable::Expire(absl::Duration idle_timeout,
                       absl::Duration max_age,
                       absl::Time now) {
  absl::erase_if(flows_, [&](const auto& item) {
    const Flow& flow = item.second;
    const bool expired =
        now - flow.last_packet >
            (flow.closed ? kClosedFlowRetention : idle_timeout) ||
        now - flow.opened_at > max_age;
    if (expired) {
      Detach(flow);
    }
    return expired;
  });
}

}  // namespace gcw::direct
