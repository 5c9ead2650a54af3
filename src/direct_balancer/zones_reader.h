#ifndef GCW_DIRECT_BALANCER_ZONES_READER_H_
#define GCW_DIRECT_BALANCER_ZONES_READER_H_

#include <span>

#include "src/direct_balancer/feed_reader.h"

namespace gcw::direct_balancer {

// Reads the availability zones that operators have taken out of service: there
// is one object for each, named after the zone. Has no I/O. Not thread-safe.
class ZonesReader : public FeedReader {
 public:
  // Zones that a restored store no longer lists are retained for `lifetime`.
  explicit ZonesReader(absl::Duration lifetime);

  FeedUpdate OnObjects(std::span<const relay::Object> objects,
                       direct::Version revision,
                       absl::Time now) override;
  FeedUpdate OnRetained(const RetainedMessage& retained,
                        direct::Version revision,
                        absl::Time now) override;
  FeedUpdate OnTick(direct::Version revision, absl::Time now) override;
  std::span<const RetainedBatch> retained() const override;

 private:
  const absl::Duration lifetime_;
  RetainedObjects lost_;
};

}  // namespace gcw::direct_balancer

#endif  // GCW_DIRECT_BALANCER_ZONES_READER_H_
