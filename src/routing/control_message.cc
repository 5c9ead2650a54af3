#include "src/routing/control_message.h"

#include <cstddef>
#include <exception>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

namespace gcw::routing {

namespace {

using Json = nlohmann::json;
using Bytes = std::vector<std::uint8_t>;

// Encoded size of an identifier, a revision or a flow key.
constexpr std::size_t kWordBytes = 8;
// Encoded size of a server identifier and its 32-bit weight.
constexpr std::size_t kWeightedServerBytes = 12;
// Largest weight of a server in a table; a message with a larger one is
// malformed.
constexpr std::uint32_t kMaxWeight = 1000;

void AppendInteger(Bytes& bytes, std::uint64_t value, std::size_t size) {
  for (std::size_t i = size; i > 0; --i) {
    bytes.push_back(static_cast<std::uint8_t>(value >> (8 * (i - 1))));
  }
}

std::uint64_t ReadInteger(const Bytes& bytes,
                          std::size_t offset,
                          std::size_t size) {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < size; ++i) {
    value = (value << 8) | bytes[offset + i];
  }
  return value;
}

Json PackWords(std::span<const std::uint64_t> words) {
  Bytes bytes;
  bytes.reserve(words.size() * kWordBytes);
  for (const std::uint64_t word : words) {
    AppendInteger(bytes, word, kWordBytes);
  }
  return Json::binary(std::move(bytes));
}

// The functions below throw an exception on a wrong type or length. Decode
// catches it and returns nothing.
const Bytes& ReadBinary(const Json& json, std::size_t element_bytes) {
  const Bytes& bytes = json.get_binary();
  if (bytes.size() % element_bytes != 0) {
    throw std::out_of_range("length");
  }
  return bytes;
}

std::vector<std::uint64_t> UnpackWords(const Json& json) {
  const Bytes& bytes = ReadBinary(json, kWordBytes);
  std::vector<std::uint64_t> words;
  words.reserve(bytes.size() / kWordBytes);
  for (std::size_t at = 0; at < bytes.size(); at += kWordBytes) {
    words.push_back(ReadInteger(bytes, at, kWordBytes));
  }
  return words;
}

Json PackTable(const TableNotice& table) {
  Bytes weighted_servers;
  for (const WeightedServer& weighted_server : table.spec.weighted_servers) {
    AppendInteger(weighted_servers, weighted_server.server, kWordBytes);
    AppendInteger(weighted_servers, weighted_server.weight,
                  kWeightedServerBytes - kWordBytes);
  }
  return Json::array({table.service, table.spec.revision,
                      Json::binary(std::move(weighted_servers)),
                      PackWords(table.spec.out_servers)});
}

TableNotice UnpackTable(const Json& json) {
  TableNotice table;
  table.service = json.at(0).get<std::uint64_t>();
  table.spec.revision = json.at(1).get<std::uint64_t>();
  const Bytes& weighted_servers = ReadBinary(json.at(2), kWeightedServerBytes);
  for (std::size_t at = 0; at < weighted_servers.size();
       at += kWeightedServerBytes) {
    WeightedServer weighted_server;
    weighted_server.server = ReadInteger(weighted_servers, at, kWordBytes);
    weighted_server.weight = static_cast<std::uint32_t>(ReadInteger(
        weighted_servers, at + kWordBytes, kWeightedServerBytes - kWordBytes));
    const auto& previous = table.spec.weighted_servers;
    if (weighted_server.weight == 0 || weighted_server.weight > kMaxWeight ||
        previous.size() >= Table::kNoPosition ||
        (!previous.empty() &&
         previous.back().server >= weighted_server.server)) {
      throw std::out_of_range("share");
    }
    table.spec.weighted_servers.push_back(weighted_server);
  }
  table.spec.out_servers = UnpackWords(json.at(3));
  return table;
}

Json PackContent(const ControlMessage& message) {
  Json json = Json::object();
  if (message.sync_done != 0) {
    json["d"] = message.sync_done;
  }
  for (const TableNotice& table : message.tables) {
    json["t"].push_back(PackTable(table));
  }
  for (const DeviationNotice& deviation : message.deviations) {
    json["x"].push_back(Json::array({deviation.service, deviation.server}));
  }
  for (const RecordGroup& group : message.records) {
    json["f"].push_back(
        Json::array({group.service, group.server, PackWords(group.flows)}));
  }
  if (!message.closed.empty()) {
    json["z"] = PackWords(message.closed);
  }
  return json;
}

void UnpackContent(const Json& json, ControlMessage& message) {
  message.sync_done = json.value("d", 0U);
  for (const Json& table : json.value("t", Json::array())) {
    message.tables.push_back(UnpackTable(table));
  }
  for (const Json& deviation : json.value("x", Json::array())) {
    message.deviations.push_back({deviation.at(0).get<std::uint64_t>(),
                                  deviation.at(1).get<std::uint64_t>()});
  }
  for (const Json& group : json.value("f", Json::array())) {
    message.records.push_back({group.at(0).get<std::uint64_t>(),
                               group.at(1).get<std::uint64_t>(),
                               UnpackWords(group.at(2))});
  }
  if (json.contains("z")) {
    message.closed = UnpackWords(json.at("z"));
  }
}

}  // namespace

std::vector<std::uint8_t> Encode(const ControlMessage& message) {
  Json json = Json::array({message.session, message.revision,
                           message.highest_known_revision, message.view_hash,
                           message.records_complete, message.sync_request,
                           message.sequence, message.sync_all, message.clock_ms,
                           message.echoed_clock_ms});
  if (message.has_content()) {
    json.push_back(PackContent(message));
  }
  return Json::to_cbor(json);
}

std::optional<ControlMessage> Decode(std::span<const std::uint8_t> bytes) {
  try {
    const Json json = Json::from_cbor(bytes.begin(), bytes.end());
    ControlMessage message;
    message.session = json.at(0).get<std::uint64_t>();
    message.revision = json.at(1).get<std::uint64_t>();
    message.highest_known_revision = json.at(2).get<std::uint64_t>();
    message.view_hash = json.at(3).get<std::uint32_t>();
    message.records_complete = json.at(4).get<bool>();
    message.sync_request = json.at(5).get<std::uint32_t>();
    message.sequence = json.at(6).get<std::uint32_t>();
    message.sync_all = json.at(7).get<bool>();
    message.clock_ms = json.at(8).get<std::uint32_t>();
    message.echoed_clock_ms = json.at(9).get<std::uint32_t>();
    if (json.size() > 10) {
      UnpackContent(json.at(10), message);
    }
    return message;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace gcw::routing
