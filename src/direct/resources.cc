#include "gcw/direct/resources.h"

#include <algorithm>
#include <tuple>

#include "gcw/base/hash.h"

namespace gcw::direct {

bool SameState(const BackendServer& a, const BackendServer& b) {
  const auto state = [](const BackendServer& s) {
    return std::tie(s.name, s.number, s.incarnation, s.service, s.address,
                    s.zone, s.slots, s.draining, s.cold_for);
  };
  return state(a) == state(b);
}

bool IsEarlier(const BackendServer& a, const BackendServer& b) {
  return std::tie(a.incarnation, a.report_number) <
         std::tie(b.incarnation, b.report_number);
}

FlowCookie CookieOf(const BackendServer& server) {
  constexpr unsigned kCookieBits = 32;
  const auto folded =
      static_cast<FlowCookie>(server.number ^ (server.number >> kCookieBits));
  return std::max<FlowCookie>(folded, 1);
}

IncarnationKey KeyOf(const BackendServer& server) {
  const std::uint64_t hash =
      MixHash(server.number, static_cast<std::uint64_t>(server.incarnation));
  return std::max<IncarnationKey>(static_cast<IncarnationKey>(hash), 1);
}

}  // namespace gcw::direct
