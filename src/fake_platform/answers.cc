#include "src/fake_platform/answers.h"

#include <utility>

namespace gcw::fake_platform {

using nlohmann::json;
using platform::Listing;
using platform::Object;
using platform::WatchAnswer;
using platform::WatchEvent;

json ToJson(const Object& object) {
  json value = {{"key", object.key},
                {"version", object.version},
                {"created", object.created}};
  if (!object.value.empty()) {
    value["value"] = json::parse(object.value);
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
