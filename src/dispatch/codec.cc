#include "gcw/dispatch/codec.h"

#include <limits>

#include "src/dispatch/message_fields.h"

namespace gcw::dispatch {
namespace {

using nlohmann::json;

constexpr std::uint64_t kMax32 = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t kMax64 = std::numeric_limits<std::uint64_t>::max();
// A request's body has to fit into one datagram.
constexpr std::size_t kMaxBodyBytes = 60'000;

json ToFields(const Cancel& cancel) {
  json map = {{"t", "can"}, {"id", cancel.id}};
  if (!cancel.attempt_id.empty()) {
    map["rid"] = cancel.attempt_id;
  }
  return map;
}

json ToFields(const Refusal& refusal) {
  return {{"t", "ref"},
          {"id", refusal.id},
          {"code", static_cast<std::uint16_t>(refusal.code)},
          {"not_run", refusal.not_run}};
}

json ToFields(const Shed& shed) {
  return {{"t", "shed"},
          {"id", shed.id},
          {"rid", shed.attempt_id},
          {"srv", shed.server},
          {"inc", shed.incarnation}};
}

json ToFields(const LoadQuery& query) {
  return {{"t", "load?"}, {"n", query.nonce}};
}

json ToFields(const LoadReport& report) {
  return {{"t", "load"},           {"n", report.nonce},
          {"srv", report.server},  {"used", report.used},
          {"slots", report.slots}, {"conns", report.connections},
          {"ok", report.healthy},  {"inc", report.incarnation}};
}

Cancel ReadCancel(FieldReader& reader) {
  Cancel cancel;
  cancel.id = reader.Text("id");
  cancel.attempt_id = reader.Text("rid", false);
  return cancel;
}

Refusal ReadRefusal(FieldReader& reader) {
  Refusal refusal;
  refusal.id = reader.Text("id");
  refusal.code = ReadCode(reader, "code");
  refusal.not_run = reader.Flag("not_run");
  return refusal;
}

Shed ReadShed(FieldReader& reader) {
  Shed shed;
  shed.id = reader.Text("id");
  shed.attempt_id = reader.Text("rid");
  shed.server = reader.Text("srv");
  shed.incarnation = reader.Number("inc", kMax64);
  return shed;
}

LoadReport ReadLoadReport(FieldReader& reader) {
  LoadReport report;
  report.nonce = reader.Number("n", kMax64);
  report.server = reader.Text("srv");
  report.used = static_cast<std::uint32_t>(reader.Number("used", kMax32));
  report.slots = static_cast<std::uint32_t>(reader.Number("slots", kMax32));
  report.connections =
      static_cast<std::uint32_t>(reader.Number("conns", kMax32));
  report.healthy = reader.Flag("ok");
  report.incarnation = reader.Number("inc", kMax64);
  return report;
}

Message ReadMessage(FieldReader& reader) {
  const std::string type = reader.Text("t");
  if (type == "req") {
    return ReadRequest(reader);
  }
  if (type == "can") {
    return ReadCancel(reader);
  }
  if (type == "ans") {
    return ReadAnswerPart(reader);
  }
  if (type == "ref") {
    return ReadRefusal(reader);
  }
  if (type == "shed") {
    return ReadShed(reader);
  }
  if (type == "load?") {
    return LoadQuery{reader.Number("n", kMax64)};
  }
  if (type == "load") {
    return ReadLoadReport(reader);
  }
  reader.Fail("t", "is not a known message type");
  return Cancel{};
}

}  // namespace

json ToFields(const Request& request) {
  json map = {{"t", "req"},
              {"id", request.id},
              {"organisation", request.organisation},
              {"svc", request.service},
              {"dl", absl::ToInt64Milliseconds(request.deadline)},
              {"w", request.worth},
              {"idem", request.idempotent},
              {"body", CborBytes(request.body)}};
  if (request.answer_bytes.has_value()) {
    map["sz"] = *request.answer_bytes;
  }
  if (request.attempt != 0) {
    map["att"] = request.attempt;
    map["rid"] = request.attempt_id;
  }
  return map;
}

json ToFields(const AnswerPart& part) {
  json map = {{"t", "ans"},          {"id", part.id},
              {"svc", part.service}, {"part", part.part},
              {"parts", part.parts}, {"body", CborBytes(part.body)},
              {"srv", part.server},  {"inc", part.incarnation},
              {"sum", part.sum}};
  if (!part.attempt_id.empty()) {
    map["rid"] = part.attempt_id;
    map["us"] = absl::ToInt64Microseconds(part.service_time);
  }
  return map;
}

Request ReadRequest(FieldReader& reader) {
  Request request;
  request.id = reader.Text("id");
  request.organisation = reader.Text("organisation");
  request.service = reader.Text("svc");
  request.deadline = reader.Milliseconds("dl");
  request.worth = reader.Real("w");
  request.idempotent = reader.Flag("idem");
  request.body = reader.Binary("body", kMaxBodyBytes);
  if (reader.Has("sz")) {
    request.answer_bytes =
        static_cast<std::uint32_t>(reader.Number("sz", kMax32));
  }
  if (reader.Has("att")) {
    request.attempt = static_cast<std::uint32_t>(reader.Number("att", kMax32));
    request.attempt_id = reader.Text("rid");
  }
  return request;
}

AnswerPart ReadAnswerPart(FieldReader& reader) {
  AnswerPart part;
  part.id = reader.Text("id");
  part.service = reader.Text("svc");
  part.part = static_cast<std::uint32_t>(reader.Number("part", kMax32));
  part.parts =
      static_cast<std::uint32_t>(reader.Number("parts", kMaxAnswerParts));
  part.body = reader.Binary("body", kMaxPartBytes);
  part.server = reader.Text("srv");
  part.incarnation = reader.Number("inc", kMax64);
  part.sum = reader.Number("sum", kMax64);
  part.attempt_id = reader.Text("rid", false);
  const auto microseconds = static_cast<std::int64_t>(
      reader.Number("us", std::numeric_limits<std::int64_t>::max(), false));
  part.service_time = absl::Microseconds(microseconds);
  if (part.part >= part.parts) {
    reader.Fail("part", "must be less than parts");
  }
  return part;
}

ResultCode ReadCode(FieldReader& reader, const char* name) {
  const std::uint64_t number = reader.Number(name, 0xffff);
  const std::optional<ResultCode> code =
      ResultCodeFromNumber(static_cast<std::uint16_t>(number));
  if (!code.has_value()) {
    reader.Fail(name, "is not a known result code");
  }
  return code.value_or(ResultCode::kInternal);
}

Bytes Encode(const Message& message) {
  const json map =
      std::visit([](const auto& m) -> json { return ToFields(m); }, message);
  return json::to_cbor(map);
}

Result<Message> Decode(std::span<const std::uint8_t> bytes) {
  Result<json> map = ParseCborMap(bytes);
  if (!map.ok()) {
    return map.error();
  }
  FieldReader reader(map.value(), "");
  Message message = ReadMessage(reader);
  if (!reader.ok()) {
    return reader.error();
  }
  return message;
}

}  // namespace gcw::dispatch
