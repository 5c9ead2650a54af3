#include "src/lab/messages.h"

#include <nlohmann/json.hpp>

#include "gcw/base/hash.h"

namespace gcw::lab {
namespace {

using Json = nlohmann::json;

struct ToCbor {
  Json operator()(const RequestMessage& m) const {
    Json json = {{"t", "req"},
                 {"id", m.id},
                 {"organisation", m.organisation},
                 {"svc", m.service},
                 {"dl", m.deadline_ms},
                 {"w", m.worth},
                 {"idem", m.idempotent},
                 {"body", Json::binary(m.body)}};
    if (m.expected_bytes > 0) {
      json["sz"] = m.expected_bytes;
    }
    if (!m.attempt_id.empty()) {
      json["att"] = m.attempt;
      json["rid"] = m.attempt_id;
    }
    return json;
  }
  Json operator()(const CancelMessage& m) const {
    Json json = {{"t", "can"}, {"id", m.id}};
    if (!m.attempt_id.empty()) {
      json["rid"] = m.attempt_id;
    }
    return json;
  }
  Json operator()(const AnswerMessage& m) const {
    Json json = {{"t", "ans"},       {"id", m.id},
                 {"svc", m.service}, {"part", m.part},
                 {"parts", m.parts}, {"body", Json::binary(m.body)},
                 {"srv", m.server},  {"inc", m.incarnation},
                 {"sum", m.checksum}};
    if (!m.attempt_id.empty()) {
      json["rid"] = m.attempt_id;
      json["us"] = m.service_us;
    }
    return json;
  }
  Json operator()(const RefusalMessage& m) const {
    return {
        {"t", "ref"}, {"id", m.id}, {"code", m.code}, {"not_run", m.not_run}};
  }
  Json operator()(const ShedMessage& m) const {
    return {{"t", "shed"},
            {"id", m.id},
            {"rid", m.attempt_id},
            {"srv", m.server},
            {"inc", m.incarnation}};
  }
  Json operator()(const LoadQuery& m) const {
    return {{"t", "load?"}, {"n", m.nonce}};
  }
  Json operator()(const LoadReport& m) const {
    return {{"t", "load"},     {"n", m.nonce},        {"srv", m.server},
            {"used", m.used},  {"slots", m.slots},    {"conns", m.connections},
            {"ok", m.healthy}, {"inc", m.incarnation}};
  }
};

Bytes BinaryOf(const Json& json, const char* key) {
  return json.at(key).get_binary();
}

RequestMessage ReadRequest(const Json& json) {
  RequestMessage m;
  json.at("id").get_to(m.id);
  json.at("organisation").get_to(m.organisation);
  json.at("svc").get_to(m.service);
  json.at("dl").get_to(m.deadline_ms);
  json.at("w").get_to(m.worth);
  json.at("idem").get_to(m.idempotent);
  m.body = BinaryOf(json, "body");
  m.expected_bytes = json.value("sz", 0);
  m.attempt = json.value("att", 0);
  m.attempt_id = json.value("rid", std::string());
  return m;
}

AnswerMessage ReadAnswer(const Json& json) {
  AnswerMessage m;
  json.at("id").get_to(m.id);
  json.at("svc").get_to(m.service);
  json.at("part").get_to(m.part);
  json.at("parts").get_to(m.parts);
  m.body = BinaryOf(json, "body");
  json.at("srv").get_to(m.server);
  json.at("inc").get_to(m.incarnation);
  json.at("sum").get_to(m.checksum);
  m.attempt_id = json.value("rid", std::string());
  m.service_us = json.value("us", std::int64_t{0});
  return m;
}

LoadReport ReadLoad(const Json& json) {
  LoadReport m;
  json.at("n").get_to(m.nonce);
  json.at("srv").get_to(m.server);
  json.at("used").get_to(m.used);
  json.at("slots").get_to(m.slots);
  json.at("conns").get_to(m.connections);
  json.at("ok").get_to(m.healthy);
  json.at("inc").get_to(m.incarnation);
  return m;
}

std::optional<Message> ReadMessage(const Json& json) {
  const std::string type = json.at("t");
  if (type == "req") {
    return ReadRequest(json);
  }
  if (type == "can") {
    return CancelMessage{json.at("id"), json.value("rid", std::string())};
  }
  if (type == "ans") {
    return ReadAnswer(json);
  }
  if (type == "ref") {
    return RefusalMessage{json.at("id"), json.at("code"), json.at("not_run")};
  }
  if (type == "shed") {
    return ShedMessage{json.at("id"), json.at("rid"), json.at("srv"),
                       json.at("inc")};
  }
  if (type == "load?") {
    return LoadQuery{json.at("n")};
  }
  if (type == "load") {
    return ReadLoad(json);
  }
  return std::nullopt;
}

}  // namespace

Bytes Encode(const Message& message) {
  return Json::to_cbor(std::visit(ToCbor(), message));
}

std::optional<Message> Decode(std::span<const std::uint8_t> bytes) {
  const Json json = Json::from_cbor(bytes.begin(), bytes.end(), true, false);
  if (!json.is_object()) {
    return std::nullopt;
  }
  try {
    return ReadMessage(json);
  } catch (const Json::exception&) {
    return std::nullopt;  // A field is missing or has the wrong type.
  }
}

Bytes AnswerBody(const std::string& id, int size) {
  Bytes body(static_cast<std::size_t>(size));
  std::uint64_t word = StableHash(id);
  for (std::size_t i = 0; i < body.size(); ++i) {
    if (i % sizeof(word) == 0) {
      word = MixHash(word, i);
    }
    body[i] = static_cast<std::uint8_t>(word >> (i % sizeof(word) * 8));
  }
  return body;
}

}  // namespace gcw::lab
