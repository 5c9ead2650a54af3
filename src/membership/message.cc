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

Json ToJson(const MemberUpdate& update) {
  return Json::array(
      {update.name, update.zone, update.address.ip, update.address.port,
       static_cast<std::uint64_t>(update.state), update.incarnation});
}

// Names are logged and shown to operators, so they must consist of visible
// ASCII characters.
bool IsVisibleAscii(char c) {
  return c > ' ' && c <= '~';
}

std::string ReadName(CborReader& reader, std::string_view field) {
  std::string name = reader.Text(field, kMaxNameBytes);
  if (!std::all_of(name.begin(), name.end(), IsVisibleAscii)) {
    reader.Fail(field, "must be visible ASCII");
  }
  return name;
}

MemberUpdate ReadUpdate(const Json& value,
                        std::string path,
                        std::optional<Error>& error) {
  CborReader reader(value, std::move(path), error);
  MemberUpdate update;
  update.name = ReadName(reader, "name");
  update.zone = ReadName(reader, "zone");
  update.address.ip =
      static_cast<std::uint32_t>(reader.Unsigned("ip", kMaxUint32));
  update.address.port =
      static_cast<std::uint16_t>(reader.Unsigned("port", kMaxPort));
  update.state = static_cast<MemberState>(reader.Unsigned("state", kLastState));
  update.incarnation = reader.Unsigned("incarnation");
  reader.Finish();
  if (update.name.empty() || update.zone.empty()) {
    reader.Fail("name", "name and zone must not be empty");
  }
  if (update.address.ip == 0 || update.address.port == 0) {
    reader.Fail("ip", "address and port must not be zero");
  }
  return update;
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
    return Error{ResultCode::kMalformedMessage, "", "message is too long"};
  }
  const std::optional<Json> value = ParseCbor(bytes, kMaxDepth);
  if (!value) {
    return Error{ResultCode::kMalformedMessage, "", "must be valid CBOR"};
  }
  std::optional<Error> error;
  CborReader reader(*value, "", error);
  Message message;
  message.type = static_cast<MessageType>(reader.Unsigned("type", kLastType));
  message.nonce = reader.Unsigned("nonce");
  message.sender = ReadUpdate(
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
        ReadUpdate(gossip[i], "gossip[" + std::to_string(i) + "]", error));
  }
  if (error) {
    return *error;
  }
  return message;
}

}  // namespace gcw::membership
