#include "gcw/membership/message.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "gcw/base/cbor_reader.h"

namespace gcw::membership {
namespace {

using Json = nlohmann::json;

constexpr int kMaxDepth = 4;
constexpr auto kLastType = static_cast<std::uint64_t>(MessageType::kSyncReply);
constexpr auto kLastState = static_cast<std::uint64_t>(MemberState::kLeft);
constexpr std::uint64_t kMaxPort = std::numeric_limits<std::uint16_t>::max();
constexpr std::uint64_t kMaxUint32 = std::numeric_limits<std::uint32_t>::max();

Json ToJson(const MemberUpdate& gossip) {
  return Json::array(
      {gossip.name, gossip.zone, gossip.address.ip, gossip.address.port,
       static_cast<std::uint64_t>(gossip.state), gossip.incarnation});
}

// Names are logged and shown to operators, so they hold visible ASCII only.
bool IsVisible(char c) {
  return c > ' ' && c <= '~';
}

std::string ReadName(CborReader& reader, std::string_view field) {
  std::string name = reader.Text(field, kMaxNameBytes);
  if (!std::all_of(name.begin(), name.end(), IsVisible)) {
    reader.Fail(field, "must be visible ASCII");
  }
  return name;
}

MemberUpdate ReadGossip(const Json& value,
                        std::string path,
                        std::optional<Error>& error) {
  CborReader reader(value, std::move(path), error);
  MemberUpdate gossip;
  gossip.name = ReadName(reader, "name");
  gossip.zone = ReadName(reader, "zone");
  gossip.address.ip =
      static_cast<std::uint32_t>(reader.Unsigned("ip", kMaxUint32));
  gossip.address.port =
      static_cast<std::uint16_t>(reader.Unsigned("port", kMaxPort));
  gossip.state = static_cast<MemberState>(reader.Unsigned("state", kLastState));
  gossip.incarnation = reader.Unsigned("incarnation");
  reader.Finish();
  if (gossip.name.empty() || gossip.zone.empty()) {
    reader.Fail("name", "name and zone must not be empty");
  }
  if (gossip.address.ip == 0 || gossip.address.port == 0) {
    reader.Fail("ip", "address and port must not be zero");
  }
  return gossip;
}

}  // namespace

std::vector<std::uint8_t> Encode(const Message& message) {
  Json gossip = Json::array();
  for (const MemberUpdate& item : message.gossip) {
    gossip.push_back(ToJson(item));
  }
  const Json value = Json::array(
      {static_cast<std::uint64_t>(message.type), message.nonce,
       ToJson(message.sender), message.revision, message.digest, message.target,
       std::move(gossip), Json::binary(message.payload)});
  return Json::to_cbor(value);
}

Result<Message> Decode(std::span<const std::uint8_t> bytes) {
  if (bytes.size() > kMaxMessageBytes) {
    return Error{ResultCode::kMalformedMessage, "", "too long"};
  }
  const std::optional<Json> value = ParseCbor(bytes, kMaxDepth);
  if (!value) {
    return Error{ResultCode::kMalformedMessage, "", "is no CBOR"};
  }
  std::optional<Error> error;
  CborReader reader(*value, "", error);
  Message message;
  message.type = static_cast<MessageType>(reader.Unsigned("type", kLastType));
  message.nonce = reader.Unsigned("nonce");
  message.sender = ReadGossip(
      reader.Array("sender", std::numeric_limits<std::size_t>::max()), "sender",
      error);
  message.revision = reader.Unsigned("revision");
  message.digest =
      static_cast<std::uint32_t>(reader.Unsigned("digest", kMaxUint32));
  message.target = ReadName(reader, "target");
  const Json& gossip = reader.Array("gossip", kMaxUpdates);
  message.payload = reader.Bytes("payload", kMaxPayloadBytes);
  reader.Finish();
  for (std::size_t i = 0; i < gossip.size() && !error; ++i) {
    message.gossip.push_back(
        ReadGossip(gossip[i], "gossip[" + std::to_string(i) + "]", error));
  }
  if (error) {
    return *error;
  }
  return message;
}

}  // namespace gcw::membership
