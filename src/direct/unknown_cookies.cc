#include "src/direct/unknown_cookies.h"

#include <cstddef>

namespace gcw::direct {
namespace {

// Bounds the memory that packets with invalid cookies can use.
constexpr std::size_t kMaxCookies = 4096;

}  // namespace

absl::Time UnknownCookies::UnknownSince(FlowCookie cookie, absl::Time now) {
  if (since_.size() >= kMaxCookies) {
    since_.clear();
  }
  return since_.try_emplace(cookie, now).first->second;
}

void UnknownCookies::Expire(absl::Duration max_age, absl::Time now) {
  absl::erase_if(since_,
                 [&](const auto& item) { return now - item.second > max_age; });
}

}  // namespace gcw::direct
