#ifndef GCW_DISPATCH_CONTEXT_H_
#define GCW_DISPATCH_CONTEXT_H_

#include <random>

#include "gcw/config/snapshot.h"
#include "gcw/dispatch/options.h"
#include "src/dispatch/home_directory.h"
#include "src/dispatch/member_view.h"
#include "src/dispatch/outbox.h"
#include "src/dispatch/peer_link.h"

namespace gcw::dispatch {

// The state that the ingress, owner, witness and home of one dispatcher share.
// Not thread-safe.
struct Context {
  explicit Context(const DispatchOptions& settings);

  // Returns the service `name`, or nullptr if it is not configured.
  const config::Service* FindService(std::string_view name) const;
  // Whether `server` may get new work according to the configuration.
  bool AcceptsNewWork(const config::BackendServer& server) const;
  // Returns the backend server `name`, or nullptr if it is not configured.
  const config::BackendServer* FindServer(std::string_view name) const;

  DispatchOptions options;
  Outbox outbox;
  MemberView members;
  PeerLink link;
  HomeDirectory directory;
  std::mt19937_64 random;
  config::SnapshotPtr snapshot;
  bool shutting_down = false;
};

}  // namespace gcw::dispatch

#endif  // GCW_DISPATCH_CONTEXT_H_
