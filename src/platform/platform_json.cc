#include "src/platform/platform_json.h"

#include <algorithm>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "gcw/platform/decode_json.h"
#include "gcw/platform/json_text.h"

namespace gcw::platform {
namespace {

using nlohmann::json;

// Longer keys are refused by the messages between daemons.
constexpr std::size_t kMaxKeyBytes = 512;
// The platform's limit of a value.
constexpr std::size_t kMaxValueBytes = 1'048'576;

// Decodes one object. A deleted object has no value.
Result<Object> ReadMembers(const std::vector<JsonMember>& members,
                           bool deleted) {
  const auto key = DecodeJson<std::string>(
      FindJsonMember(members, "key"),
      [](const json& value) { return value.get<std::string>(); });
  if (!key.ok()) {
    return key.error();
  }
  if (key.value().empty() || key.value().size() > kMaxKeyBytes) {
    return UndecodableText("key: empty or too long");
  }
  const auto version =
      DecodeJson<Version>(FindJsonMember(members, "version"), ReadRevision);
  if (!version.ok()) {
    return version.error();
  }
  const auto created =
      DecodeJson<Version>(FindJsonMember(members, "created"), ReadUnsigned);
  Object object;
  object.key = key.value();
  object.version = version.value();
  object.created =
      created.ok() ? std::min(created.value(), object.version) : Version{0};
  if (!deleted) {
    object.value =
        CompactJson(FindJsonMember(members, "value"), kMaxValueBytes);
  }
  return object;
}

std::vector<Vm> ReadVms(const json& value) {
  std::vector<Vm> vms;
  for (const json& entry : value.at("vms")) {
    Vm vm;
    entry.at("name").get_to(vm.name);
    entry.at("address").get_to(vm.address);
    entry.at("zone").get_to(vm.zone);
    vm.state =
        entry.at("state") == "leaving" ? VmState::kLeaving : VmState::kLive;
    vms.push_back(std::move(vm));
  }
  return vms;
}

}  // namespace

Result<Object> ReadObject(std::string_view text) {
  return ReadMembers(SplitJsonObject(text), false);
}

Result<WatchEvent> ReadEvent(std::string_view text) {
  const auto members = SplitJsonObject(text);
  const bool deleted = FindJsonMember(members, "deleted") == "true";
  auto object = ReadMembers(members, deleted);
  if (!object.ok()) {
    return object.error();
  }
  return WatchEvent{std::move(object).value(), deleted};
}

Result<Version> DecodeVersion(std::string_view body) {
  return DecodeJson<Version>(body, [](const json& value) {
    return ReadUnsigned(value.at("version"));
  });
}

Result<std::vector<Vm>> DecodeVms(std::string_view body) {
  return DecodeJson<std::vector<Vm>>(body, ReadVms);
}

}  // namespace gcw::platform
