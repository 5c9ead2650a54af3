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

namespace gcw::direct_balancer {

// An object of the platform's store that could not be decoded.
struct UnreadableObject {
  std::string key;
  direct::Version revision = 0;  // Of the object's last change.
  Error error;
};

// The result of decoding the objects of one feed.
struct FeedUpdate {
  // The new state for the packet task, or none if the packet task keeps its
  // state: the configuration has not changed, does not exist or could not be
  // decoded.
  std::optional<PacketMessage> message;
  // Objects that could not be decoded, reported once for each of their
  // versions.
  std::vector<UnreadableObject> unreadable;
};

// Decodes the store's objects of one feed (configuration, backend servers, or
// zones out of service) into a message for the packet task. Caches decoded
// objects, so that only new versions are decoded. Not thread-safe.
class FeedReader {
 public:
  // A reader for the objects of `feed`.
  static std::unique_ptr<FeedReader> Make(direct::Feed feed);
  virtual ~FeedReader() = default;

  // Decodes `objects`: all live objects of the feed as of the store's
  // `revision`, sorted by key.
  virtual FeedUpdate OnObjects(std::span<const relay::Object> objects,
                               direct::Version revision) = 0;
};

}  // namespace gcw::direct_balancer

#endif  // GCW_DIRECT_BALANCER_FEED_READER_H_
