#include "src/direct_balancer/retained_objects.h"

#include <algorithm>
#include <utility>

namespace gcw::direct_balancer {

RetainedObjects::RetainedObjects(absl::Duration lifetime, Filter filter)
    : lifetime_(lifetime), filter_(std::move(filter)) {}

void RetainedObjects::OnObjects(std::span<const relay::Object> objects,
                                relay::Version revision,
                                absl::Time now,
                                const Versions& outdated) {
  const bool restored = EpochOf(revision) > EpochOf(revision_);
  revision_ = revision;
  std::vector<relay::Object> vanished = ReplaceCurrent(objects, outdated);
  std::erase_if(vanished, [&](const relay::Object& object) {
    return !filter_(object, restored);
  });
  AddBatch(std::move(vanished), revision, now);
  DropReturned();
}

std::vector<relay::Object> RetainedObjects::ReplaceCurrent(
    std::span<const relay::Object> objects,
    const Versions& outdated) {
  std::vector<relay::Object> vanished;
  auto current = current_.begin();
  const auto remove_current = [&] {
    vanished.push_back(std::move(current->second));
    current = current_.erase(current);
  };
  for (const relay::Object& object : objects) {
    while (current != current_.end() && current->first < object.key) {
      remove_current();
    }
    if (current == current_.end() || current->first != object.key) {
      current_.emplace_hint(current, object.key, object);
      continue;
    }
    if (current->second.version != object.version &&
        !outdated.contains(object.version)) {
      current->second = object;
    }
    ++current;
  }
  while (current != current_.end()) {
    remove_current();
  }
  return vanished;
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
