#include "src/direct/unknown_cookies.h"

#include <cstddef>

namespace gcw::direct {
namespace {

// Bounds the memory that packets with invalid cookies can use.
constexpr std::size_t kMaxEntries = 4096;

template <typename Key>
absl::Time FirstSeenAt(absl::flat_hash_map<Key, absl::Time>& since,
                       const Key& key,
                       absl::Time now) {
  if (since.size() >= kMaxEntries) {
    since.clear();
  }
  return since.try_emplace(key, now).first->second;
}

template <typename Key>
void RemoveBefore(absl::flat_hash_map<Key, absl::Time>& since,
                  absl::Time limit) {
  absl::erase_if(since, [&](const auto& item) { return item.second < limit; });
}

}  // namespace

UnknownCookies::FirstSeen UnknownCookies::OnPacket(FlowCookie cookie,
                                                   const FlowKey& flow,
                                                   absl::Time now) {
  return {FirstSeenAt(cookies_, cookie, now), FirstSeenAt(flows_, flow, now)};
}

void UnknownCookies::Expire(absl::Duration max_age, absl::Time now) {
  RemoveBefore(cookies_, now - max_age);
  RemoveBefore(flows_, now - max_age);
}

}  // namespace gcw::direct
