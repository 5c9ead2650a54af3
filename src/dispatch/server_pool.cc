#include "src/dispatch/server_pool.h"

#include <algorithm>

namespace gcw::dispatch {
namespace {

// A former home tells of its server this much longer.
constexpr absl::Duration kTellAfterLoss = absl::Seconds(3);

}  // namespace

ServerPool::ServerPool(Context& context, const SlotPolicy& policy)
    : context_(context), policy_(policy) {}

std::vector<std::string> ServerPool::Refresh(absl::Time now) {
  const config::Snapshot& snapshot = *context_.snapshot;
  std::vector<std::string> given_up;
  for (auto& [name, server] : servers_) {
    const config::BackendServer* found = context_.FindServer(name);
    server.SetWanted(false);
    const bool zone_out =
        found != nullptr && snapshot.zones.contains(found->zone) &&
        snapshot.zones.at(found->zone).state == config::ZoneState::kOut;
    if (found == nullptr || zone_out ||
        found->state == config::ServerState::kOut) {
      given_up.push_back(name);
    }
  }
  for (const auto& [name, config] : snapshot.servers) {
    ServerState& server =
        servers_.try_emplace(name, config, context_.options.warm_up)
            .first->second;
    server.Configure(config, now);
    const bool mine = policy_.IsMine(config, context_.members);
    absl::Time& until =
        mine_until_.try_emplace(name, absl::InfinitePast()).first->second;
    const bool was_mine = until == absl::InfiniteFuture();
    if (mine && !was_mine) {
      const HomeDirectory::KnownServer* known =
          context_.directory.FindServer(name);
      // Of a server that nobody has told of, nobody knows that it is warm.
      server.StartCautiously(
          known == nullptr ? 0 : known->incarnation,
          known == nullptr ? now + context_.options.warm_up : known->cold_until,
          now);
    }
    if (mine != was_mine) {
      until = mine ? absl::InfiniteFuture() : now;
    }
    server.SetWanted(mine && context_.IsWanted(config));
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
  return given_up;
}

ServerState* ServerPool::Pick(std::string_view service,
                              std::string_view avoid,
                              absl::Time now) {
  const auto it = services_.find(service);
  if (it == services_.end()) {
    return nullptr;
  }
  std::vector<ServerState*> fitting;
  for (ServerState* server : it->second) {
    if (server->name() != avoid &&
        policy_.Fits(*server, context_.members, now)) {
      fitting.push_back(server);
    }
  }
  return fitting.empty() ? nullptr : policy_.Choose(fitting, context_.random);
}

bool ServerPool::Serves(std::string_view service,
                        std::string_view avoid) const {
  const auto it = services_.find(service);
  return it != services_.end() &&
         std::any_of(it->second.begin(), it->second.end(),
                     [&](const ServerState* server) {
                       return server->wanted() && server->name() != avoid;
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
  const auto wanted =
      std::count_if(servers_.begin(), servers_.end(),
                    [](const auto& entry) { return entry.second.wanted(); });
  const auto share = static_cast<std::size_t>(
      context_.options.max_ejected_share * static_cast<double>(wanted));
  // One of two or more may always go, but never the last.
  return wanted < 2 ? 0 : std::max<std::size_t>(share, 1);
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
    if (!server->wanted() || server->ejected(now)) {
      continue;
    }
    hint.slots += server->allowed();
    if (policy_.Fits(*server, context_.members, now)) {
      hint.free +=
          server->allowed() - std::min(server->in_flight(), server->allowed());
    }
  }
  return hint;
}

bool ServerPool::IsMine(const ServerState& server) const {
  const auto it = mine_until_.find(server.name());
  return it != mine_until_.end() && it->second == absl::InfiniteFuture();
}

void ServerPool::OnServerHint(const ServerHint& hint, absl::Time now) {
  ServerState* server = Find(hint.server);
  if (server != nullptr && IsMine(*server) && server->incarnation() == 0 &&
      hint.incarnation != 0) {
    server->StartCautiously(hint.incarnation, now + hint.warm_up_left, now);
  }
}

std::vector<ServerHint> ServerPool::ServerHints(absl::Time now) const {
  std::vector<ServerHint> hints;
  for (const auto& [name, server] : servers_) {
    const auto until = mine_until_.find(name);
    // The next home has to hear of it too.
    if (until != mine_until_.end() && now - until->second < kTellAfterLoss) {
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
    // A server that answers needs no query: its report could only be older.
    if (query && IsMine(server) && server.failing()) {
      context_.outbox.ToServer(server.config().address,
                               LoadQuery{context_.random()});
    }
  }
  last_query_ = query ? now : last_query_;
}

}  // namespace gcw::dispatch
