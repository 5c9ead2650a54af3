#include "src/direct_balancer/zones_reader.h"

#include <string>
#include <utility>
#include <vector>

#include "platform/object_format.h"

namespace gcw::direct_balancer {
namespace {

// The names of the zones in `objects`.
std::vector<std::string> NamesOf(std::span<const relay::Object> objects) {
  std::vector<std::string> names;
  for (const relay::Object& object : objects) {
    if (object.key.starts_with(adapter::kZonesOutPrefix)) {
      names.push_back(object.key.substr(adapter::kZonesOutPrefix.size()));
    }
  }
  return names;
}

}  // namespace

ZonesReader::ZonesReader(absl::Duration lifetime)
    : lifetime_(lifetime),
      lost_(lifetime, [](const relay::Object& /*object*/, bool restored) {
        // Without a restore, operators have put the zone back in service.
        return restored;
      }) {}

FeedUpdate ZonesReader::OnObjects(std::span<const relay::Object> objects,
                                  direct::Version revision,
                                  absl::Time now) {
  lost_.OnObjects(objects, revision, now);
  FeedUpdate update;
  update.message = ZonesOutRead{NamesOf(objects), revision};
  return update;
}

FeedUpdate ZonesReader::OnRetained(const RetainedMessage& retained,
                                   direct::Version /*revision*/,
                                   absl::Time now) {
  FeedUpdate update;
  if (retained.age < lifetime_) {
    lost_.OnTold(retained.objects, retained.store_version, now - retained.age);
    update.message =
        ZonesOutTold{NamesOf(retained.objects), now + lifetime_ - retained.age};
  }
  return update;
}

FeedUpdate ZonesReader::OnTick(direct::Version /*revision*/, absl::Time now) {
  lost_.OnTick(now);
  return {};
}

std::span<const RetainedBatch> ZonesReader::retained() const {
  return lost_.batches();
}

}  // namespace gcw::direct_balancer
