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

// What the roles of one dispatcher share. Not thread-safe.
struct Context {
  explicit Context(const DispatchOptions& settings);

  // The service called `name`, or nullptr.
  const config::Service* FindService(std::string_view name) const;
  // Whether operators want new work on `server`.
  bool AcceptsNewWork(const config::BackendServer& server) const;
  // The backend server called `name`, or nullptr.
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
