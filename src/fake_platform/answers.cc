#include "src/fake_platform/answers.h"

#include <fmt/format.h>

#include <boost/algorithm/hex.hpp>
#include <iterator>
#include <utility>

#include "gcw/platform/json_text.h"

namespace gcw::fake_platform {
namespace {

// Begins the JSON string that stands for the bytes of a value.
constexpr std::string_view kMarker = "fake-platform-value:";
// Longer values are not decoded to be encoded again.
constexpr std::size_t kMaxPlainBytes = 4096;

bool IsPlain(const std::string& value) {
  return value.size() <= kMaxPlainBytes &&
         !platform::IsNestedDeeper(value, platform::kMaxJsonDepth) &&
         nlohmann::json::accept(value);
}

// The marker for the value of `object`, without characters that JSON escapes.
std::string MarkerOf(const platform::Object& object) {
  std::string key;
  boost::algorithm::hex_lower(object.key, std::back_inserter(key));
  return fmt::format("{}{}:{}", kMarker, key, object.version);
}

}  // namespace

using nlohmann::json;
using platform::Listing;
using platform::Object;
using platform::WatchAnswer;
using platform::WatchEvent;

json ValueToJson(const Object& object) {
  return IsPlain(object.value) ? json::parse(object.value)
                               : json(MarkerOf(object));
}

void RawValues::Add(const Object& object) {
  if (!IsPlain(object.value)) {
    values_[MarkerOf(object)] = object.value;
  }
}

std::string RawValues::InsertInto(const std::string& answer) const {
  std::size_t bytes = answer.size();
  for (const auto& [marker, value] : values_) {
    bytes += value.size();
  }
  std::string text;
  text.reserve(bytes);
  const std::string begin_text = fmt::format("\"{}", kMarker);
  std::size_t copied = 0;
  std::size_t begin = answer.find(begin_text);
  while (begin != std::string::npos) {
    const std::size_t end = answer.find('"', begin + 1);
    const auto value = values_.find(
        std::string_view(answer).substr(begin + 1, end - begin - 1));
    text.append(answer, copied, begin - copied);
    text.append(value == values_.end() ? "null" : value->second);
    copied = end + 1;
    begin = answer.find(begin_text, copied);
  }
  text.append(answer, copied);
  return text;
}

json ToJson(const Object& object) {
  json value = {{"key", object.key},
                {"version", object.version},
                {"created", object.created}};
  if (!object.value.empty()) {
    value["value"] = ValueToJson(object);
  }
  return value;
}

json ToJson(const Listing& listing) {
  json objects = json::array();
  for (const Object& object : listing.objects) {
    objects.push_back(ToJson(object));
  }
  return {{"revision", listing.revision}, {"objects", std::move(objects)}};
}

json ToJson(const WatchAnswer& answer) {
  json events = json::array();
  for (const WatchEvent& event : answer.events) {
    json value = ToJson(event.object);
    if (event.deleted) {
      value["deleted"] = true;
    }
    events.push_back(std::move(value));
  }
  return {{"revision", answer.revision}, {"events", std::move(events)}};
}

json ToJson(const std::vector<platform::Vm>& vms) {
  json list = json::array();
  for (const platform::Vm& vm : vms) {
    const bool live = vm.state == platform::VmState::kLive;
    list.push_back({{"name", vm.name},
                    {"address", vm.address},
                    {"zone", vm.zone},
                    {"state", live ? "live" : "leaving"}});
  }
  return {{"vms", std::move(list)}};
}

int StatusOf(ResultCode code) {
  switch (code) {
    case ResultCode::kNotFound:
      return 404;
    case ResultCode::kPlatformConflict:
      return 409;
    case ResultCode::kPlatformCompacted:
      return 410;
    case ResultCode::kTooLarge:
      return 413;
    default:
      return 400;
  }
}

}  // namespace gcw::fake_platform
