#ifndef GCW_DIRECT_BALANCER_SERVERS_READER_H_
#define GCW_DIRECT_BALANCER_SERVERS_READER_H_

#include <span>
#include <string_view>
#include <vector>

#include "src/direct_balancer/feed_reader.h"

namespace gcw::direct_balancer {

// Decodes the entries of backend servers. Caches decoded entries, so that only
// new versions are decoded. Has no I/O. Not thread-safe.
class ServersReader : public FeedReader {
 public:
  // Servers whose entries vanished without a drain are retained for `lifetime`.
  explicit ServersReader(absl::Duration lifetime);

  FeedUpdate OnObjects(std::span<const relay::Object> objects,
                       direct::Version revision,
                       absl::Time now) override;
  FeedUpdate OnRetained(const RetainedMessage& retained,
                        direct::Version revision,
                        absl::Time now) override;
  FeedUpdate OnTick(direct::Version revision, absl::Time now) override;
  std::span<const RetainedBatch> retained() const override;

 private:
  std::vector<direct::ServerReportPtr> reports_;
  RetainedObjects vanished_;
};

}  // namespace gcw::direct_balancer

#endif  // GCW_DIRECT_BALANCER_SERVERS_READER_H_
