#include <limits>
#include <utility>

#include "gcw/dispatch/codec.h"
#include "src/dispatch/message_fields.h"

namespace gcw::dispatch {
namespace {

using nlohmann::json;

constexpr std::uint64_t kMax32 = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t kMax64 = std::numeric_limits<std::uint64_t>::max();

json EndpointFields(const Endpoint& endpoint) {
  return json::array({endpoint.ip, endpoint.port});
}

Endpoint ReadEndpoint(FieldReader& reader, const char* name) {
  const json& list = reader.List(name);
  const bool valid = list.size() == 2 && list[0].is_number_unsigned() &&
                     list[1].is_number_unsigned() &&
                     list[0].get<std::uint64_t>() <= kMax32 &&
                     list[1].get<std::uint64_t>() <= 0xffff;
  if (!valid) {
    reader.Fail(name, "is not an address and a port");
    return {};
  }
  return Endpoint{list[0].get<std::uint32_t>(), list[1].get<std::uint16_t>()};
}

json RoutedFields(const RoutedRequest& routed) {
  return {{"req", ToFields(routed.request)},
          {"from", EndpointFields(routed.caller)},
          {"to", EndpointFields(routed.service_address)}};
}

RoutedRequest ReadRouted(FieldReader& reader) {
  RoutedRequest routed;
  FieldReader inner(reader.Map("req"), reader.Path("req"));
  routed.request = ReadRequest(inner);
  reader.AdoptError(inner);
  routed.caller = ReadEndpoint(reader, "from");
  routed.service_address = ReadEndpoint(reader, "to");
  return routed;
}

json HintFields(const SlotHint& hint) {
  return {{"s", hint.service},
          {"f", hint.free},
          {"q", hint.queued},
          {"n", hint.slots}};
}

SlotHint ReadHint(FieldReader& reader) {
  SlotHint hint;
  hint.service = reader.Text("s");
  hint.free = static_cast<std::uint32_t>(reader.Number("f", kMax32));
  hint.queued = static_cast<std::uint32_t>(reader.Number("q", kMax32));
  hint.slots = static_cast<std::uint32_t>(reader.Number("n", kMax32));
  return hint;
}

SlotHint ReadHintMap(FieldReader& reader) {
  FieldReader inner(reader.Map("hint"), reader.Path("hint"));
  SlotHint hint = ReadHint(inner);
  reader.AdoptError(inner);
  return hint;
}

json ToFields(const ForwardRequest& message) {
  json map = RoutedFields(message.routed);
  map["t"] = "fwd";
  return map;
}

json ToFields(const ForwardCancel& message) {
  return {{"t", "fcan"}, {"id", message.id}};
}

json ToFields(const RequestCompleted& message) {
  return {{"t", "done"}, {"id", message.id}};
}

json ToFields(const Claim& message) {
  return {{"t", "claim"}, {"id", message.id}};
}

json ToFields(const ClaimReply& message) {
  json map = {{"t", "vote"},
              {"id", message.id},
              {"v", static_cast<std::uint8_t>(message.verdict)}};
  if (!message.owner.empty()) {
    map["o"] = message.owner;
  }
  return map;
}

json ToFields(const AssignRequest& message) {
  json map = RoutedFields(message.routed);
  map["t"] = "hand";
  map["h"] = message.assignment_number;
  map["a"] = message.attempts;
  if (!message.avoid_server.empty()) {
    map["x"] = message.avoid_server;
  }
  return map;
}

json ToFields(const AssignmentCancel& message) {
  return {{"t", "hcan"}, {"id", message.id}, {"h", message.assignment_number}};
}

json ToFields(const AssignmentAnswer& message) {
  return {{"t", "hans"},
          {"h", message.assignment_number},
          {"ans", ToFields(message.part)},
          {"hint", HintFields(message.hint)}};
}

json ToFields(const AssignmentOutcome& message) {
  json map = {{"t", "hout"},
              {"id", message.id},
              {"h", message.assignment_number},
              {"k", static_cast<std::uint8_t>(message.kind)},
              {"code", static_cast<std::uint16_t>(message.code)},
              {"a", message.attempts},
              {"hint", HintFields(message.hint)}};
  if (!message.server.empty()) {
    map["srv"] = message.server;
  }
  return map;
}

json ToFields(const SlotHints& message) {
  json list = json::array();
  for (const SlotHint& hint : message.hints) {
    list.push_back(HintFields(hint));
  }
  json map = {{"t", "hints"}, {"l", std::move(list)}};
  for (const ServerHint& server : message.servers) {
    json fields = {{"s", server.server}, {"i", server.incarnation}};
    if (server.ejected) {
      fields["e"] = true;
    }
    if (server.warm_up_left > absl::ZeroDuration()) {
      fields["dl"] = absl::ToInt64Milliseconds(server.warm_up_left);
    }
    map["c"].push_back(std::move(fields));
  }
  return map;
}

json ToFields(const PeerAck& message) {
  return {{"t", "ack"}, {"n", message.sequence}};
}

std::uint32_t ReadHandOver(FieldReader& reader) {
  return static_cast<std::uint32_t>(reader.Number("h", kMax32));
}

AssignRequest ReadHandRequest(FieldReader& reader) {
  AssignRequest message;
  message.routed = ReadRouted(reader);
  message.assignment_number = ReadHandOver(reader);
  message.attempts = static_cast<std::uint32_t>(reader.Number("a", kMax32));
  message.avoid_server = reader.Text("x", false);
  return message;
}

AssignmentAnswer ReadHandAnswer(FieldReader& reader) {
  AssignmentAnswer message;
  message.assignment_number = ReadHandOver(reader);
  FieldReader inner(reader.Map("ans"), reader.Path("ans"));
  message.part = ReadAnswerPart(inner);
  reader.AdoptError(inner);
  message.hint = ReadHintMap(reader);
  return message;
}

AssignmentOutcome ReadHandOutcome(FieldReader& reader) {
  AssignmentOutcome message;
  message.id = reader.Text("id");
  message.assignment_number = ReadHandOver(reader);
  message.kind = static_cast<AssignmentOutcomeKind>(reader.Number(
      "k",
      static_cast<std::uint64_t>(AssignmentOutcomeKind::kAnswerIncomplete)));
  message.code = ReadCode(reader, "code");
  message.attempts = static_cast<std::uint32_t>(reader.Number("a", kMax32));
  message.server = reader.Text("srv", false);
  message.hint = ReadHintMap(reader);
  return message;
}

SlotHints ReadSlotHints(FieldReader& reader) {
  SlotHints message;
  for (const json& item : reader.List("l")) {
    FieldReader inner(item, reader.Path("l"));
    message.hints.push_back(ReadHint(inner));
    reader.AdoptError(inner);
  }
  if (!reader.Has("c")) {
    return message;
  }
  for (const json& item : reader.List("c")) {
    FieldReader inner(item, reader.Path("c"));
    ServerHint server;
    server.server = inner.Text("s");
    server.incarnation = inner.Number("i", kMax64);
    server.ejected = inner.Flag("e", false);
    if (inner.Has("dl")) {
      server.warm_up_left = inner.Milliseconds("dl");
    }
    message.servers.push_back(std::move(server));
    reader.AdoptError(inner);
  }
  return message;
}

ClaimReply ReadClaimReply(FieldReader& reader) {
  ClaimReply message;
  message.id = reader.Text("id");
  message.verdict = static_cast<ClaimVerdict>(
      reader.Number("v", static_cast<std::uint64_t>(ClaimVerdict::kTaken)));
  message.owner = reader.Text("o", false);
  return message;
}

PeerBody ReadHandMessage(FieldReader& reader, const std::string& type) {
  if (type == "hand") {
    return ReadHandRequest(reader);
  }
  if (type == "hcan") {
    const std::string id = reader.Text("id");
    return AssignmentCancel{id, ReadHandOver(reader)};
  }
  if (type == "hans") {
    return ReadHandAnswer(reader);
  }
  if (type == "hout") {
    return ReadHandOutcome(reader);
  }
  reader.Fail("t", "is not a known message type");
  return PeerAck{};
}

PeerBody ReadBody(FieldReader& reader) {
  const std::string type = reader.Text("t");
  if (type == "fwd") {
    return ForwardRequest{ReadRouted(reader)};
  }
  if (type == "fcan") {
    return ForwardCancel{reader.Text("id")};
  }
  if (type == "done") {
    return RequestCompleted{reader.Text("id")};
  }
  if (type == "claim") {
    return Claim{reader.Text("id")};
  }
  if (type == "vote") {
    return ReadClaimReply(reader);
  }
  if (type == "hints") {
    return ReadSlotHints(reader);
  }
  if (type == "ack") {
    return PeerAck{reader.Number("n", kMax64)};
  }
  return ReadHandMessage(reader, type);
}

}  // namespace

Bytes EncodePeer(const PeerMessage& message) {
  json map = std::visit([](const auto& m) -> json { return ToFields(m); },
                        message.body);
  map["q"] = message.sequence;
  map["b"] = message.sender_boot_id;
  if (message.receiver_boot_id != 0) {
    map["tb"] = message.receiver_boot_id;
  }
  return json::to_cbor(map);
}

Result<PeerMessage> DecodePeer(std::span<const std::uint8_t> bytes) {
  Result<json> map = ParseCborMap(bytes);
  if (!map.ok()) {
    return map.error();
  }
  FieldReader reader(map.value(), "");
  PeerMessage message;
  message.body = ReadBody(reader);
  message.sequence = reader.Number("q", kMax64);
  message.sender_boot_id = reader.Number("b", kMax64);
  message.receiver_boot_id = reader.Number("tb", kMax64, false);
  if (!reader.ok()) {
    return reader.error();
  }
  return message;
}

}  // namespace gcw::dispatch
