#include "src/api/watch_stream.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "absl/time/clock.h"
#include "src/api/views.h"

namespace gcw::api {
namespace {

using nlohmann::json;

// Longest time that one watch call waits for a change. When it expires, the
// stream writes a bookmark, which also detects a closed connection.
constexpr absl::Duration kMaxWatchWait = absl::Seconds(5);

std::string PrefixOf(config::ResourceKind kind) {
  return fmt::format("{}{}/", config::kConfigPrefix, config::ToString(kind));
}

std::string Line(const json& value) {
  return value.dump() + "\n";
}

}  // namespace

WatchStream::WatchStream(platform::PlatformClient* client,
                         config::ResourceKind kind,
                         const CallContext& context,
                         Version after,
                         std::uint64_t seed)
    : client_(client),
      kind_(kind),
      identity_(context.identity),
      after_(after),
      backoff_({absl::Milliseconds(200), absl::Seconds(5)}, seed) {
  // A resumed watch sends no initial lines, but needs the hidden_keys_ that
  // InitialLines fills in.
  const std::string initial_lines = InitialLines(context);
  if (after_ == 0) {
    after_ = context.revision;
    pending_ = initial_lines + Bookmark();
  }
}

std::string WatchStream::Next() {
  if (!pending_.empty()) {
    return std::exchange(pending_, "");
  }
  if (ended_) {
    return "";
  }
  const Result<platform::WatchAnswer> answer =
      client_->Watch(PrefixOf(kind_), after_, kMaxWatchWait);
  return answer.ok() ? OnAnswer(answer.value()) : OnFailure(answer.error());
}

std::string WatchStream::InitialLines(const CallContext& context) {
  std::string lines;
  for (const platform::Object& object : context.objects) {
    lines += LineOf({object, false});
  }
  return lines;
}

std::string WatchStream::OnAnswer(const platform::WatchAnswer& answer) {
  backoff_.Reset();
  std::string lines;
  for (const platform::WatchEvent& event : answer.events) {
    lines += LineOf(event);
  }
  // The platform may answer with an older revision, which must not move the
  // position back.
  after_ = std::max(after_, answer.revision);
  return lines + Bookmark();
}

std::string WatchStream::OnFailure(const Error& error) {
  if (error.code == ResultCode::kPlatformCompacted) {
    ended_ = true;
    return Line({{"type", "compacted"}});
  }
  absl::SleepFor(backoff_.Next());
  return Line({{"type", "error"},
               {"code", static_cast<unsigned>(error.code)},
               {"message", error.message}});
}

std::string WatchStream::LineOf(const platform::WatchEvent& event) {
  const std::string& key = event.object.key;
  const std::optional<config::ResourceId> id = config::ParseKey(key);
  if (!id.has_value() || id->kind != kind_) {
    return "";
  }
  if (event.deleted) {
    const bool was_hidden = hidden_keys_.erase(key) > 0;
    return was_hidden ? ""
                      : Line({{"type", "deleted"},
                              {"kind", config::ToString(kind_)},
                              {"name", id->name},
                              {"version", event.object.version}});
  }
  std::optional<json> view = VisibleView(event.object, identity_);
  if (!view.has_value()) {
    hidden_keys_.insert(key);
    return "";
  }
  hidden_keys_.erase(key);
  (*view)["type"] = "put";
  return Line(*view);
}

std::string WatchStream::Bookmark() const {
  return Line({{"type", "bookmark"}, {"version", after_}});
}

}  // namespace gcw::api
