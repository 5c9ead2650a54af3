#include "src/dispatch/server_pool.h"

#include <algorithm>

namespace gcw::dispatch {
namespace {

// Time for which a former home goes on sending hints about a server, so that
// the next home learns the server's incarnation and warm-up.
constexpr absl::Duration kFormerHomeHintTime = absl::Seconds(3);

}  // namespace

ServerPool::ServerPool(Context& context, const SlotPolicy& policy)
    : context_(context), policy_(policy) {}

std::vector<std::string> ServerPool::Refresh(absl::Time now) {
  const config::Snapshot& snapshot = *context_.snapshot;
  std::vector<std::string> removed_servers;
  for (auto& [name, server] : servers_) {
    const config::BackendServer* configured = context_.FindServer(name);
    server.SetAcceptsNewWork(false);
    const bool zone_is_out =
        configured != nullptr && snapshot.zones.contains(configured->zone) &&
        snapshot.zones.at(configured->zone).state == config::ZoneState::kOut;
    if (configured == nullptr || zone_is_out ||
        configured->state == config::ServerState::kOut) {
      removed_servers.push_back(name);
    }
  }
  for (const auto& [name, config] : snapshot.servers) {
    ServerState& server =
        servers_.try_emplace(name, config, context_.options.warm_up)
            .first->second;
    server.Configure(config, now);
    const bool managed = policy_.Manages(config, context_.members);
    absl::Time& until =
        managed_until_.try_emplace(name, absl::InfinitePast()).first->second;
    const bool was_managed = until == absl::InfiniteFuture();
    if (managed && !was_managed) {
      const HomeDirectory::KnownServer* known =
          context_.directory.FindServer(name);
      // A server without a hint of a previous home counts as cold.
      server.OnTakeover(
          known == nullptr ? 0 : known->incarnation,
          known == nullptr ? now + context_.options.warm_up : known->cold_until,
          now);
    }
    if (managed != was_managed) {
      until = managed ? absl::InfiniteFuture() : now;
    }
    server.SetAcceptsNewWork(managed && context_.AcceptsNewWork(config));
  }
  services_.clear();
  for (const auto& [name, service] : snapshot.services) {
    for (const config::ServiceMember& member : service.servers) {
      ServerState* server = Find(member.server);
      if (server != nullptr && member.weight > 0) {
        services_[name].push_back(server);
      }
    }
  }
  return removed_servers;
}

ServerState* ServerPool::Pick(std::string_view service,
                              std::string_view avoid_server,
                              absl::Time now) {
  const auto it = services_.find(service);
  if (it == services_.end()) {
    return nullptr;
  }
  std::vector<ServerState*> available;
  for (ServerState* server : it->second) {
    if (server->name() != avoid_server &&
        policy_.HasCapacity(*server, context_.members, now)) {
      available.push_back(server);
    }
  }
  return available.empty() ? nullptr
                           : policy_.Choose(available, context_.random);
}

bool ServerPool::Serves(std::string_view service,
                        std::string_view avoid_server) const {
  const auto it = services_.find(service);
  return it != services_.end() &&
         std::any_of(it->second.begin(), it->second.end(),
                     [&](const ServerState* server) {
                       return server->accepts_new_work() &&
                              server->name() != avoid_server;
                     });
}

ServerState* ServerPool::Find(std::string_view name) {
  const auto it = servers_.find(name);
  return it == servers_.end() ? nullptr : &it->second;
}

ServerState* ServerPool::FindByAddress(Endpoint address) {
  for (auto& [name, server] : servers_) {
    if (server.config().address == address) {
      return &server;
    }
  }
  return nullptr;
}

std::size_t ServerPool::EjectionLimit() const {
  const auto in_use = std::count_if(
      servers_.begin(), servers_.end(),
      [](const auto& entry) { return entry.second.accepts_new_work(); });
  const auto share = static_cast<std::size_t>(
      context_.options.max_ejected_share * static_cast<double>(in_use));
  // Of two or more servers, one may always be ejected. The only server may not.
  return in_use < 2 ? 0 : std::max<std::size_t>(share, 1);
}

bool ServerPool::TryEject(ServerState& server, absl::Time now) {
  const auto ejected = static_cast<std::size_t>(std::count_if(
      servers_.begin(), servers_.end(),
      [&](const auto& entry) { return entry.second.ejected(now); }));
  if (ejected >= EjectionLimit()) {
    return false;
  }
  server.Eject(now);
  return true;
}

SlotHint ServerPool::Hint(const std::string& service, absl::Time now) const {
  SlotHint hint{service, 0, 0, 0};
  const auto it = services_.find(service);
  if (it == services_.end()) {
    return hint;
  }
  for (const ServerState* server : it->second) {
    if (!server->accepts_new_work() || server->ejected(now)) {
      continue;
    }
    hint.slots += server->allowed();
    if (policy_.HasCapacity(*server, context_.members, now)) {
      hint.free +=
          server->allowed() - std::min(server->in_flight(), server->allowed());
    }
  }
  return hint;
}

bool ServerPool::Manages(const ServerState& server) const {
  const auto it = managed_until_.find(server.name());
  return it != managed_until_.end() && it->second == absl::InfiniteFuture();
}

void ServerPool::OnServerHint(const ServerHint& hint, absl::Time now) {
  ServerState* server = Find(hint.server);
  if (server != nullptr && Manages(*server) && server->incarnation() == 0 &&
      hint.incarnation != 0) {
    server->OnTakeover(hint.incarnation, now + hint.warm_up_left, now);
  }
}

std::vector<ServerHint> ServerPool::ServerHints(absl::Time now) const {
  std::vector<ServerHint> hints;
  for (const auto& [name, server] : servers_) {
    const auto until = managed_until_.find(name);
    // Former homes send hints too, because the next home needs them.
    if (until != managed_until_.end() &&
        now - until->second < kFormerHomeHintTime) {
      hints.push_back({name, server.incarnation(), server.ejected(now),
                       server.warm_up_left(now)});
    }
  }
  return hints;
}

void ServerPool::OnTick(absl::Time now) {
  const bool query = now - last_query_ >= context_.options.load_query_interval;
  for (auto& [name, server] : servers_) {
    server.OnTick(now);
    // A server that answers needs no load query, because its answers are more
    // recent than a load report.
    if (query && Manages(server) && server.is_failing()) {
      context_.outbox.ToServer(server.config().address,
                               LoadQuery{context_.random()});
    }
  }
  last_query_ = query ? now : last_query_;
}

}  // namespace gcw::dispatch
