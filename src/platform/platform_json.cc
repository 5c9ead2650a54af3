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

// Decodes one object. A value that cannot be decoded is replaced, see
// CompactJson(); a deleted object has none.
Result<Object> ReadObject(const std::vector<JsonMember>& members,
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

// Reads the revision of the platform from an answer.
Result<Version> ReadPlatformRevision(const JsonListing& listing) {
  return DecodeJson<Version>(FindJsonMember(listing.members, "revision"),
                             ReadUnsigned);
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

Result<Listing> DecodeListing(std::string_view body) {
  const auto split = SplitJsonListing(body, "objects");
  if (!split.ok()) {
    return split.error();
  }
  const auto revision = ReadPlatformRevision(split.value());
  if (!revision.ok()) {
    return revision.error();
  }
  Listing listing;
  listing.revision = revision.value();
  for (const std::string_view entry : split.value().entries) {
    auto object = ReadObject(SplitJsonObject(entry), false);
    if (object.ok()) {
      listing.objects.push_back(std::move(object).value());
    } else {
      listing.skipped.Add(object.error());
    }
  }
  return listing;
}

Result<Object> DecodeObject(std::string_view body) {
  return ReadObject(SplitJsonObject(body), false);
}

Result<Version> DecodeVersion(std::string_view body) {
  return DecodeJson<Version>(body, [](const json& value) {
    return ReadUnsigned(value.at("version"));
  });
}

Result<WatchAnswer> DecodeWatch(std::string_view body) {
  const auto split = SplitJsonListing(body, "events");
  if (!split.ok()) {
    return split.error();
  }
  const auto revision = ReadPlatformRevision(split.value());
  if (!revision.ok()) {
    return revision.error();
  }
  WatchAnswer answer;
  answer.revision = revision.value();
  for (const std::string_view entry : split.value().entries) {
    const auto members = SplitJsonObject(entry);
    const bool deleted = FindJsonMember(members, "deleted") == "true";
    auto object = ReadObject(members, deleted);
    if (object.ok()) {
      answer.events.push_back({std::move(object).value(), deleted});
    } else {
      answer.skipped.Add(object.error());
    }
  }
  return answer;
}

Result<std::vector<Vm>> DecodeVms(std::string_view body) {
  return DecodeJson<std::vector<Vm>>(body, ReadVms);
}

}  // namespace gcw::platform
