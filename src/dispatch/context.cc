#include "src/dispatch/context.h"

#include "gcw/base/hash.h"
#include "src/dispatch/accepts_new_work.h"

namespace gcw::dispatch {

Context::Context(const DispatchOptions& settings)
    : options(settings),
      members(settings.self, settings.zone, settings.repeat_lifetime),
      link(settings.self,
           settings.boot_id,
           MixHash(settings.seed, settings.boot_id) | 1,
           outbox),
      random(MixHash(settings.boot_id, settings.seed)),
      snapshot(std::make_shared<config::Snapshot>()) {}

const config::Service* Context::FindService(std::string_view name) const {
  const auto it = snapshot->services.find(name);
  return it == snapshot->services.end() ? nullptr : &it->second;
}

const config::BackendServer* Context::FindServer(std::string_view name) const {
  const auto it = snapshot->servers.find(name);
  return it == snapshot->servers.end() ? nullptr : &it->second;
}

bool Context::AcceptsNewWork(const config::BackendServer& server) const {
  return dispatch::AcceptsNewWork(*snapshot, server);
}

}  // namespace gcw::dispatch
