#include <catch2/catch.hpp>

#include "gcw/routing/packet.h"

namespace gcw::routing {
namespace {

// A restore of the platform gives every object new versions. Daemons took all
// servers for new incarnations and reset the flows of the old ones.
TEST_CASE("a restore of the platform does not change the ids of servers") {
  config::BackendServer server;
  server.name = "s1";
  server.address = {0x0a000001, 9000};
  server.created = MakeStoreVersion(0, 7);
  const ServerId before = ServerIdOf(server);
  server.created = MakeStoreVersion(1, 7);
  CHECK(ServerIdOf(server) == before);
  server.created = MakeStoreVersion(1, 8);
  CHECK(ServerIdOf(server) != before);
}

}  // namespace
}  // namespace gcw::routing
