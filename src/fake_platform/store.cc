#include "src/fake_platform/store.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

namespace gcw::fake_platform {
namespace {

Error Conflict(Version current) {
  return {
      ResultCode::kPlatformConflict, "",
      fmt::format("version conflict: the object is at version {}", current)};
}

}  // namespace

Store::Store(std::size_t max_log_events) : max_log_events_(max_log_events) {}

Result<Version> Store::Put(std::string_view key,
                           std::string_view value,
                           Version if_version) {
  if (value.size() > kMaxStoredBytes) {
    return Error{ResultCode::kTooLarge, "",
                 fmt::format("the value has {} bytes, the maximum is {}",
                             value.size(), kMaxStoredBytes)};
  }
  if (!nlohmann::json::accept(value.begin(), value.end())) {
    return Error{ResultCode::kMalformedJson, "", "the value is not valid JSON"};
  }
  if (VersionOf(key) != if_version) {
    return Conflict(VersionOf(key));
  }
  return PutRaw(key, value);
}

Version Store::PutRaw(std::string_view key, std::string_view value) {
  const bool created = VersionOf(key) == 0;
  Object& object = objects_[std::string(key)];
  object.key = key;
  object.value = value;
  object.version = ++revision_;
  if (created) {
    object.created = revision_;
  }
  Append({object, false});
  return revision_;
}

Result<Version> Store::Delete(std::string_view key, Version if_version) {
  const auto it = objects_.find(key);
  if (it == objects_.end()) {
    return Error{ResultCode::kNotFound, "",
                 fmt::format("there is no object at key '{}'", key)};
  }
  if (it->second.version != if_version) {
    return Conflict(it->second.version);
  }
  Object object = std::move(it->second);
  objects_.erase(it);
  object.value.clear();
  object.version = ++revision_;
  Append({std::move(object), true});
  return revision_;
}

Result<Object> Store::Get(std::string_view key) const {
  const auto it = objects_.find(key);
  if (it == objects_.end()) {
    return Error{ResultCode::kNotFound, "",
                 fmt::format("there is no object at key '{}'", key)};
  }
  return it->second;
}

Listing Store::List(std::string_view prefix) const {
  return ListPage(prefix, "", {}).listing;
}

StorePage Store::ListPage(std::string_view prefix,
                          std::string_view after,
                          const PageLimits& limits) const {
  StorePage page;
  page.listing.revision = revision_;
  std::vector<Object>& objects = page.listing.objects;
  std::size_t bytes = 0;
  auto it = after < prefix ? objects_.lower_bound(prefix)
                           : objects_.upper_bound(after);
  for (; it != objects_.end() && it->first.starts_with(prefix); ++it) {
    bytes += it->second.value.size();
    const bool full =
        (limits.objects != 0 && objects.size() == limits.objects) ||
        (limits.bytes != 0 && bytes > limits.bytes);
    if (full && !objects.empty()) {
      page.more = true;
      break;
    }
    objects.push_back(it->second);
  }
  return page;
}

Result<WatchAnswer> Store::EventsAfter(std::string_view prefix,
                                       Version after) const {
  if (after < compacted_revision_) {
    return Error{ResultCode::kPlatformCompacted, "",
                 fmt::format("events up to version {} have been compacted",
                             compacted_revision_)};
  }
  if (after > revision_) {
    return Error{
        ResultCode::kPlatformCompacted, "",
        fmt::format("the latest version is {}, not {}", revision_, after)};
  }
  WatchAnswer answer;
  answer.revision = revision_;
  const auto is_older = [](const WatchEvent& event, Version version) {
    return event.object.version <= version;
  };
  for (auto it = std::lower_bound(log_.begin(), log_.end(), after, is_older);
       it != log_.end(); ++it) {
    if (it->object.key.starts_with(prefix)) {
      answer.events.push_back(*it);
    }
  }
  return answer;
}

Version Store::VersionOf(std::string_view key) const {
  const auto it = objects_.find(key);
  return it == objects_.end() ? 0 : it->second.version;
}

void Store::RestoreFrom(const Store& copy) {
  ++epoch_;
  revision_ = copy.revision_;
  objects_ = copy.objects_;
  Compact();
}

void Store::Compact() {
  log_.clear();
  compacted_revision_ = revision_;
}

void Store::Append(WatchEvent event) {
  log_.push_back(std::move(event));
  if (log_.size() > max_log_events_) {
    compacted_revision_ = log_.front().object.version;
    log_.pop_front();
  }
}

}  // namespace gcw::fake_platform
