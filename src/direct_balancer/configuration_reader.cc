#include "src/direct_balancer/configuration_reader.h"

#include <algorithm>
#include <utility>

#include "platform/object_format.h"
#include "platform/resource_codec.h"

namespace gcw::direct_balancer {
namespace {

// The configuration among `objects`, or null.
const relay::Object* FindConfiguration(std::span<const relay::Object> objects) {
  const auto it =
      std::find_if(objects.begin(), objects.end(), [](const auto& object) {
        return object.key == adapter::kConfigurationKey;
      });
  return it == objects.end() ? nullptr : &*it;
}

}  // namespace

FeedUpdate ConfigurationReader::OnObjects(
    std::span<const relay::Object> objects,
    direct::Version revision,
    absl::Time now) {
  FeedUpdate update;
  const relay::Object* object = FindConfiguration(objects);
  if (object == nullptr || object->version == decoded_version_) {
    return update;
  }
  decoded_version_ = object->version;
  auto stored = Decode(*object, update);
  if (!stored) {
    return update;
  }
  const direct::Version offered = stored->configuration.version;
  const bool changed = selector_.OnStored(*std::move(stored), now);
  if (!changed) {
    update.ignored = direct::OlderConfigurationIgnored{
        offered, selector_.in_force()->configuration.version, object->version};
  }
  Publish(changed, revision, now, update);
  return update;
}

FeedUpdate ConfigurationReader::OnStaleObjects(
    std::span<const relay::Object> objects,
    direct::Version revision) {
  FeedUpdate update;
  const relay::Object* object = FindConfiguration(objects);
  if (object == nullptr) {
    return update;
  }
  auto offered = Decode(*object, update);
  update.unreadable.clear();
  if (offered && selector_.OnStale(*std::move(offered))) {
    update.message =
        ConfigurationRead{selector_.in_force()->configuration, revision};
  }
  return update;
}

FeedUpdate ConfigurationReader::OnRetained(const RetainedMessage& retained,
                                           direct::Version revision,
                                           absl::Time now) {
  FeedUpdate update;
  const relay::Object* object = FindConfiguration(retained.objects);
  if (object == nullptr) {
    return update;
  }
  auto configuration = Decode(*object, update);
  if (configuration) {
    const bool changed =
        selector_.OnRetained(*std::move(configuration), retained.store_version);
    Publish(changed, revision, now, update);
  }
  return update;
}

FeedUpdate ConfigurationReader::OnTick(direct::Version revision,
                                       absl::Time now) {
  FeedUpdate update;
  if (selector_.OnTick(now)) {
    Publish(true, revision, now, update);
  }
  return update;
}

std::span<const RetainedBatch> ConfigurationReader::retained() const {
  return batches_;
}

std::optional<StoredConfiguration> ConfigurationReader::Decode(
    const relay::Object& object,
    FeedUpdate& update) {
  auto configuration = adapter::DecodeConfiguration(object.json);
  if (!configuration.ok()) {
    update.unreadable.push_back(
        {object.key, object.version, configuration.error()});
    return std::nullopt;
  }
  return StoredConfiguration{std::move(configuration).value(), object};
}

void ConfigurationReader::Publish(bool changed,
                                  direct::Version revision,
                                  absl::Time now,
                                  FeedUpdate& update) {
  if (changed) {
    update.message =
        ConfigurationRead{selector_.in_force()->configuration, revision};
  }
  if (!selector_.retained()) {
    batches_.clear();
  } else if (changed || batches_.empty() ||
             batches_.front().store_version != selector_.copy_version()) {
    batches_ = {{++last_batch_id_,
                 now,
                 selector_.copy_version(),
                 {selector_.in_force()->object}}};
  }
}

}  // namespace gcw::direct_balancer
