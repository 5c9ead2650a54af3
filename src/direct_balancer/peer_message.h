#ifndef GCW_DIRECT_BALANCER_PEER_MESSAGE_H_
#define GCW_DIRECT_BALANCER_PEER_MESSAGE_H_

#include <cstdint>
#include <span>
#include <variant>
#include <vector>

#include "absl/time/time.h"
#include "gcw/base/result.h"
#include "gcw/direct/direct_router.h"
#include "gcw/relay/message.h"

namespace gcw::direct_balancer {

// A relay message about the state of one feed.
struct StateMessage {
  direct::Feed feed = direct::Feed::kConfiguration;
  // Time since the sender's state was last confirmed to be equal to the
  // platform's; InfiniteDuration if it never was.
  absl::Duration age = absl::InfiniteDuration();
  relay::Message message;
};

// The sender's calls to the platform fail, so it cannot watch the platform for
// its availability zone.
struct WatchUnavailable {};

// Objects of one feed that the sender still honours although the store lacks
// them, or holds an older state of them.
struct RetainedMessage {
  direct::Feed feed = direct::Feed::kConfiguration;
  absl::Duration age;  // Since the sender noticed it.
  // The version of the store's state that lacks the objects.
  relay::Version store_version = 0;
  std::vector<relay::Object> objects;
};

// A message between daemons on the control transport.
using PeerMessage =
    std::variant<StateMessage, WatchUnavailable, RetainedMessage>;

// Encodes `message` in the format of docs/WIRE.md. Messages of 1 KiB or more
// are compressed. Thread-safe.
std::vector<std::uint8_t> EncodePeerMessage(const PeerMessage& message);

// Decodes the output of EncodePeerMessage. Fails with kMalformedMessage, also
// for a message type that only a newer release knows. Thread-safe.
Result<PeerMessage> DecodePeerMessage(std::span<const std::uint8_t> bytes);

}  // namespace gcw::direct_balancer

#endif  // GCW_DIRECT_BALANCER_PEER_MESSAGE_H_
