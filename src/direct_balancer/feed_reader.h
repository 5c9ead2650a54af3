#ifndef GCW_DIRECT_BALANCER_FEED_READER_H_
#define GCW_DIRECT_BALANCER_FEED_READER_H_

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "gcw/direct/direct_router.h"
#include "gcw/relay/object.h"
#include "src/direct_balancer/messages.h"
#include "src/direct_balancer/peer_message.h"
#include "src/direct_balancer/retained_objects.h"

namespace gcw::direct_balancer {

// An object of the platform's store that could not be decoded.
struct UnreadableObject {
  std::string key;
  direct::Version revision = 0;  // Of the object's last change.
  Error error;
};

// The result of an input to a FeedReader.
struct FeedUpdate {
  // The new state for the packet task, or none if the packet task keeps its
  // state.
  std::optional<PacketMessage> message;
  // Objects that could not be decoded, reported once for each of their
  // versions.
  std::vector<UnreadableObject> unreadable;
  // Set if the store has a configuration that is ignored.
  std::optional<direct::OlderConfigurationIgnored> ignored;
};

// How long objects that the store lacks are told to daemons that start.
struct RetentionTimes {
  absl::Duration servers = direct::RouterOptions().max_flow_age;
  absl::Duration zones = direct::RouterOptions().restore_grace;
};

// Decodes the store's objects of one feed (configuration, backend servers, or
// zones out of service) into messages for the packet task. Remembers the
// objects that are still honoured although the store lacks them. Not
// thread-safe.
class FeedReader {
 public:
  // A reader for the objects of `feed`.
  static std::unique_ptr<FeedReader> Make(direct::Feed feed,
                                          const RetentionTimes& times);
  virtual ~FeedReader() = default;

  // Decodes `objects`: all live objects of the feed as of the store's
  // `revision`, sorted by key.
  virtual FeedUpdate OnObjects(std::span<const relay::Object> objects,
                               direct::Version revision,
                               absl::Time now) = 0;
  // Decodes `objects` of an answer of the store that is older than `revision`,
  // the version of this daemon's state. By default they are ignored.
  virtual FeedUpdate OnStaleObjects(std::span<const relay::Object> objects,
                                    direct::Version revision);
  // Decodes what a peer still honours. `revision` is the version of this
  // daemon's state.
  virtual FeedUpdate OnRetained(const RetainedMessage& retained,
                                direct::Version revision,
                                absl::Time now) = 0;
  // Does what has become due. Call about every 50 ms. `revision` is the version
  // of this daemon's state.
  virtual FeedUpdate OnTick(direct::Version revision, absl::Time now) = 0;

  // What peers that start now cannot read from the store. Valid until the next
  // call of another method.
  virtual std::span<const RetainedBatch> retained() const = 0;
};

}  // namespace gcw::direct_balancer

#endif  // GCW_DIRECT_BALANCER_FEED_READER_H_
