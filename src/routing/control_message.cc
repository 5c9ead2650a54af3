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

constexpr std::size_t kWordBytes = 8;
constexpr std::size_t kShareBytes = 12;
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

// The helpers below throw nlohmann exceptions on a wrong type; Decode turns
// them into an empty result.
const Bytes& BinaryOf(const Json& json, std::size_t unit) {
  const Bytes& bytes = json.get_binary();
  if (bytes.size() % unit != 0) {
    throw std::out_of_range("length");
  }
  return bytes;
}

std::vector<std::uint64_t> UnpackWords(const Json& json) {
  const Bytes& bytes = BinaryOf(json, kWordBytes);
  std::vector<std::uint64_t> words;
  words.reserve(bytes.size() / kWordBytes);
  for (std::size_t at = 0; at < bytes.size(); at += kWordBytes) {
    words.push_back(ReadInteger(bytes, at, kWordBytes));
  }
  return words;
}

Json PackTable(const TableNotice& table) {
  Bytes shares;
  for (const Share& share : table.spec.shares) {
    AppendInteger(shares, share.server, kWordBytes);
    AppendInteger(shares, share.weight, kShareBytes - kWordBytes);
  }
  return Json::array({table.service, table.spec.revision,
                      Json::binary(std::move(shares)),
                      PackWords(table.spec.out)});
}

TableNotice UnpackTable(const Json& json) {
  TableNotice table;
  table.service = json.at(0).get<std::uint64_t>();
  table.spec.revision = json.at(1).get<std::uint64_t>();
  const Bytes& shares = BinaryOf(json.at(2), kShareBytes);
  for (std::size_t at = 0; at < shares.size(); at += kShareBytes) {
    Share share;
    share.server = ReadInteger(shares, at, kWordBytes);
    share.weight = static_cast<std::uint32_t>(
        ReadInteger(shares, at + kWordBytes, kShareBytes - kWordBytes));
    const auto& before = table.spec.shares;
    if (share.weight == 0 || share.weight > kMaxWeight ||
        before.size() >= Table::kNoPosition ||
        (!before.empty() && before.back().server >= share.server)) {
      throw std::out_of_range("share");
    }
    table.spec.shares.push_back(share);
  }
  table.spec.out = UnpackWords(json.at(3));
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
  for (const DirtyNotice& dirty : message.dirty) {
    json["x"].push_back(Json::array({dirty.service, dirty.server}));
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
  for (const Json& dirty : json.value("x", Json::array())) {
    message.dirty.push_back(
        {dirty.at(0).get<std::uint64_t>(), dirty.at(1).get<std::uint64_t>()});
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
  Json json = Json::array({message.session, message.revision, message.heard,
                           message.view, message.complete, message.sync_request,
                           message.sequence, message.sync_all, message.clock,
                           message.echo});
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
    message.heard = json.at(2).get<std::uint64_t>();
    message.view = json.at(3).get<std::uint32_t>();
    message.complete = json.at(4).get<bool>();
    message.sync_request = json.at(5).get<std::uint32_t>();
    message.sequence = json.at(6).get<std::uint32_t>();
    message.sync_all = json.at(7).get<bool>();
    message.clock = json.at(8).get<std::uint32_t>();
    message.echo = json.at(9).get<std::uint32_t>();
    if (json.size() > 10) {
      UnpackContent(json.at(10), message);
    }
    return message;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace gcw::routing
