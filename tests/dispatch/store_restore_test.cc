#include <catch2/catch.hpp>

#include "src/dispatch/server_state.h"

namespace gcw::dispatch {
namespace {

// A restore of the platform gives every object new versions. Daemons took all
// servers for new ones and held back their requests as for cold servers.
TEST_CASE("a restore of the platform makes no server cold") {
  const absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  config::BackendServer server;
  server.name = "s1";
  server.created = MakeStoreVersion(0, 7);
  ServerState state(server, absl::Seconds(5));
  server.created = MakeStoreVersion(1, 7);
  state.Configure(server, now);
  CHECK_FALSE(state.cold());
  server.created = MakeStoreVersion(1, 8);
  state.Configure(server, now);
  CHECK(state.cold());
}

}  // namespace
}  // namespace gcw::dispatch
