#include "src/platform/answer_epoch.h"

#include <charconv>
#include <utility>

namespace gcw::platform {
namespace {

// Each AddEpoch returns false if a revision is too large.
bool AddEpoch(StoreEpoch epoch, Version* version) {
  if (*version > kMaxRevision) {
    return false;
  }
  *version = MakeStoreVersion(epoch, *version);
  return true;
}

bool AddEpoch(StoreEpoch epoch, Object* object) {
  // Not all answers say when the object was created.
  const bool has_created = object->created != 0;
  return AddEpoch(epoch, &object->version) &&
         (!has_created || AddEpoch(epoch, &object->created));
}

bool AddEpoch(StoreEpoch epoch, Listing* listing) {
  bool valid = AddEpoch(epoch, &listing->revision);
  for (Object& object : listing->objects) {
    valid = AddEpoch(epoch, &object) && valid;
  }
  return valid;
}

bool AddEpoch(StoreEpoch epoch, WatchAnswer* answer) {
  bool valid = AddEpoch(epoch, &answer->revision);
  for (WatchEvent& event : answer->events) {
    valid = AddEpoch(epoch, &event.object) && valid;
  }
  return valid;
}

template <typename T>
Result<T> Checked(StoreEpoch epoch, T answer) {
  if (!AddEpoch(epoch, &answer)) {
    return Error{ResultCode::kPlatformBadAnswer, "", "a revision is too large"};
  }
  return answer;
}

}  // namespace

Result<StoreEpoch> ParseEpoch(std::string_view text) {
  StoreEpoch epoch = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, epoch);
  if (parsed.ec != std::errc() || parsed.ptr != end || epoch > kMaxStoreEpoch) {
    return Error{ResultCode::kPlatformBadAnswer, "",
                 "the epoch in the header is not a valid number"};
  }
  return epoch;
}

Result<Version> WithEpoch(StoreEpoch epoch, Version revision) {
  return Checked(epoch, revision);
}
Result<Object> WithEpoch(StoreEpoch epoch, Object object) {
  return Checked(epoch, std::move(object));
}
Result<Listing> WithEpoch(StoreEpoch epoch, Listing listing) {
  return Checked(epoch, std::move(listing));
}
Result<WatchAnswer> WithEpoch(StoreEpoch epoch, WatchAnswer answer) {
  return Checked(epoch, std::move(answer));
}

}  // namespace gcw::platform
