#include "gcw/base/hash.h"
#include "gcw/routing/packet.h"

namespace gcw::routing {

namespace {

constexpr std::uint64_t kServiceSeed = 0x73657276696365ULL;
constexpr std::uint64_t kServerSeed = 0x736572766572ULL;

}  // namespace

ServiceId ServiceIdOf(std::string_view name) {
  return StableHash(name, kServiceSeed) | 1;
}

ServerId ServerIdOf(const config::BackendServer& server) {
  const std::uint64_t address =
      (std::uint64_t{server.address.ip} << 16) | server.address.port;
  const std::uint64_t name = StableHash(server.name, kServerSeed);
  return MixHash(MixHash(name, server.creation()), address) | 1;
}

}  // namespace gcw::routing
