#include "src/fake_platform/answers.h"

#include <fmt/format.h>

#include <boost/algorithm/hex.hpp>
#include <iterator>
#include <utility>

#include "gcw/platform/json_text.h"

namespace gcw::fake_platform {
namespace {

// Begins the JSON string that stands for the bytes of a value, in hex.
constexpr std::string_view kRawMarker = "fake-platform-raw:";

}  // namespace

using nlohmann::json;
using platform::Listing;
using platform::Object;
using platform::WatchAnswer;
using platform::WatchEvent;

json ValueToJson(const Object& object) {
  if (!platform::IsNestedDeeper(object.value, platform::kMaxJsonDepth) &&
      json::accept(object.value)) {
    return json::parse(object.value);
  }
  std::string hex;
  boost::algorithm::hex_lower(object.value, std::back_inserter(hex));
  return fmt::format("{}{}", kRawMarker, hex);
}

std::string WithRawValues(std::string answer) {
  const std::string marker = fmt::format("\"{}", kRawMarker);
  std::size_t begin = answer.find(marker);
  while (begin != std::string::npos) {
    const std::size_t hex_begin = begin + marker.size();
    const std::size_t end = answer.find('"', hex_begin);
    const std::string bytes =
        boost::algorithm::unhex(answer.substr(hex_begin, end - hex_begin));
    answer.replace(begin, end + 1 - begin, bytes);
    begin = answer.find(marker, begin + bytes.size());
  }
  return answer;
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
