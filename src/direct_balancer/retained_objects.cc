#include "src/direct_balancer/retained_objects.h"

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
  RetainedBatch batch{last_id_ + 1, now, revision, {}};
  for (auto& [key, object] : vanished) {
    if (filter_(object, restored)) {
      batch.objects.push_back(std::move(object));
    }
  }
  if (!batch.objects.empty()) {
    last_id_ = batch.id;
    batches_.push_back(std::move(batch));
  }
  DropReturned();
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
