#ifndef GCW_DIRECT_BALANCER_RELAY_OPTIONS_H_
#define GCW_DIRECT_BALANCER_RELAY_OPTIONS_H_

#include <cstdint>

#include "absl/time/time.h"
#include "gcw/direct/direct_router.h"
#include "gcw/relay/versioned_relay.h"
#include "src/direct_balancer/settings.h"

namespace gcw::direct_balancer {

// A call to the platform that takes longer than its wait plus this time is
// given up. In milliseconds, for static_asserts.
inline constexpr std::int64_t kPlatformCallGraceMs = 700;
inline constexpr absl::Duration kPlatformCallGrace =
    absl::Milliseconds(kPlatformCallGraceMs);

// How old the newest confirmation of the state of `feed` may become before a
// daemon that does not watch the platform asks it. From then on the daemon has
// the time to get the state within the deadline in the settings. Thread-safe.
absl::Duration MaxStateAge(const Settings& settings, direct::Feed feed);

// The options of the relay of `feed` on the daemon with these settings.
// Thread-safe.
relay::Options MakeRelayOptions(const Settings& settings, direct::Feed feed);

}  // namespace gcw::direct_balancer

#endif  // GCW_DIRECT_BALANCER_RELAY_OPTIONS_H_
