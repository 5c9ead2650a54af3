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

// An object of the platform that could not be decoded.
struct UnreadableObject {
  std::string key;
  direct::Version revision = 0;
  Error error;
};

// What the objects of one kind mean for the packet task.
struct FeedNews {
  std::optional<PacketMessage> message;      // None: nothing that can be used.
  std::vector<UnreadableObject> unreadable;  // Each version of one once.
};

// Turns the objects of one kind into a message. Keeps decoded objects for the
// next call, so that only changed ones are decoded. Not thread-safe.
class FeedReader {
 public:
  static std::unique_ptr<FeedReader> Make(direct::Feed feed);
  virtual ~FeedReader() = default;

  // All live objects as of `revision`, in order of key.
  virtual FeedNews OnObjects(std::span<const relay::Object> objects,
                             direct::Version revision) = 0;
};

}  // namespace gcw::direct_balancer

#endif  // GCW_DIRECT_BALANCER_FEED_READER_H_
