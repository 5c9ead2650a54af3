#include "src/direct_balancer/retained_objects.h"

#include <algorithm>
#include <utility>

namespace gcw::direct_balancer {

RetainedObjects::RetainedObjects(absl::Duration lifetime, Filter filter)
    : lifetime_(lifetime), filter_(std::move(filter)) {}

void RetainedObjects::OnObjects(std::span<const relay::Object> objects,
                                relay::Version revision,
                                absl::Time now) {
  const bool restored = EpochOf(revision) > EpochOf(revision_);
  std::map<std::string, relay::Object, std::less<>> vanished;
  std::swap(vanished, current_);
  for (const relay::Object& object : objects) {
    vanished.erase(object.key);
    current_.emplace(object.key, object);
  }
  revision_ = revision;
  std::vector<relay::Object> kept;
  for (auto& [key, object] : vanished) {
    if (filter_(object, restored)) {
      kept.push_back(std::move(object));
    }
  }
  AddBatch(std::move(kept), revision, now);
  DropReturned();
}

void RetainedObjects::OnTold(std::span<const relay::Object> objects,
                             relay::Version store_version,
                             absl::Time since) {
  std::vector<relay::Object> kept;
  for (const relay::Object& object : objects) {
    if (!current_.contains(object.key) && !Keeps(object.key)) {
      kept.push_back(object);
    }
  }
  AddBatch(std::move(kept), store_version, since);
}

bool RetainedObjects::Keeps(std::string_view key) const {
  const auto has_key = [&](const relay::Object& object) {
    return object.key == key;
  };
  return std::any_of(
      batches_.begin(), batches_.end(), [&](const RetainedBatch& batch) {
        return std::any_of(batch.objects.begin(), batch.objects.end(), has_key);
      });
}

void RetainedObjects::AddBatch(std::vector<relay::Object> objects,
                               relay::Version store_version,
                               absl::Time since) {
  if (!objects.empty()) {
    batches_.push_back({++last_id_, since, store_version, std::move(objects)});
  }
}

void RetainedObjects::OnTick(absl::Time now) {
  std::erase_if(batches_, [&](const RetainedBatch& batch) {
    return now - batch.since >= lifetime_;
  });
}

void RetainedObjects::DropReturned() {
  for (RetainedBatch& batch : batches_) {
    std::erase_if(batch.objects, [&](const relay::Object& object) {
      return current_.contains(object.key);
    });
  }
  std::erase_if(batches_, [](const RetainedBatch& batch) {
    return batch.objects.empty();
  });
}

}  // namespace gcw::direct_balancer
