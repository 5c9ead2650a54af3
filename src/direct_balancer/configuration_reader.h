#ifndef GCW_DIRECT_BALANCER_CONFIGURATION_READER_H_
#define GCW_DIRECT_BALANCER_CONFIGURATION_READER_H_

#include <optional>
#include <span>

#include "src/direct_balancer/configuration_selector.h"
#include "src/direct_balancer/feed_reader.h"

namespace gcw::direct_balancer {

// Decodes the single configuration object and decides which configuration is in
// force. Has no I/O. Not thread-safe.
class ConfigurationReader : public FeedReader {
 public:
  FeedUpdate OnObjects(std::span<const relay::Object> objects,
                       direct::Version revision,
                       absl::Time now) override;
  FeedUpdate OnStaleObjects(std::span<const relay::Object> objects,
                            direct::Version revision) override;
  FeedUpdate OnRetained(const RetainedMessage& retained,
                        direct::Version revision,
                        absl::Time now) override;
  FeedUpdate OnTick(direct::Version revision, absl::Time now) override;
  std::span<const RetainedBatch> retained() const override;

 private:
  // The configuration in `object`, or nothing and a note in `update`.
  static std::optional<StoredConfiguration> Decode(const relay::Object& object,
                                                   FeedUpdate& update);
  // Sets the message of `update` if another configuration is in force now.
  void Publish(bool changed,
               direct::Version revision,
               absl::Time now,
               FeedUpdate& update);

  ConfigurationSelector selector_;
  // Version of the last configuration object that was decoded, successfully or
  // not.
  direct::Version decoded_version_ = 0;
  // At most one batch: the configuration in force, if the store lacks it.
  std::vector<RetainedBatch> batches_;
  std::uint64_t last_batch_id_ = 0;
};

}  // namespace gcw::direct_balancer

#endif  // GCW_DIRECT_BALANCER_CONFIGURATION_READER_H_
