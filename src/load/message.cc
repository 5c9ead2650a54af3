#include "gcw/load/message.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

#include "gcw/base/cbor_reader.h"

namespace gcw::load {
namespace {

using Json = nlohmann::json;

constexpr std::uint32_t kMaxUint32 = std::numeric_limits<std::uint32_t>::max();
constexpr int kMaxDepth = 2;
constexpr std::uint64_t kLastType =
    static_cast<std::uint64_t>(MessageType::kTotal);
// Numbers of each ZoneLoad, Coverage and ServerLoad, which are encoded as flat
// arrays.
constexpr std::size_t kZoneLoadFields = 6;
constexpr std::size_t kCoverageFields = 3;
constexpr std::size_t kServerLoadFields = 4;
constexpr std::size_t kMaxElements = kMaxMessageBytes;
// A longer age is of no use to anybody.
constexpr std::uint64_t kMaxAgeMs = 60'000;

// The position of `name` in `names`, to which it is added if it is missing.
std::uint64_t IndexOf(NameHash name, std::vector<NameHash>& names) {
  const auto it = std::find(names.begin(), names.end(), name);
  if (it != names.end()) {
    return static_cast<std::uint64_t>(it - names.begin());
  }
  names.push_back(name);
  return names.size() - 1;
}

// Names are encoded once and then referred to by their positions, since a
// message has each of them several times.
Json ToJson(const Message& message) {
  std::vector<NameHash> names;
  Json zones = Json::array();
  for (const ZoneLoad& load : message.figures.sum.zones) {
    for (const std::uint64_t number :
         {IndexOf(load.service, names), IndexOf(load.zone, names),
          std::uint64_t{load.outstanding}, std::uint64_t{load.open_flows},
          std::uint64_t{load.placed_per_second},
          std::uint64_t{load.refused_per_second}}) {
      zones.push_back(number);
    }
  }
  Json coverage = Json::array();
  for (const Coverage& part : message.figures.coverage) {
    const std::int64_t age_ms = absl::ToInt64Milliseconds(part.age);
    coverage.push_back(IndexOf(part.zone, names));
    coverage.push_back(part.daemons);
    coverage.push_back(static_cast<std::uint64_t>(
        std::clamp<std::int64_t>(age_ms, 0, kMaxAgeMs)));
  }
  Json servers = Json::array();
  for (const ServerLoad& load : message.figures.sum.servers) {
    for (const std::uint32_t number :
         {load.server, load.outstanding, load.answers, load.slowness}) {
      servers.push_back(number);
    }
  }
  return Json::array({static_cast<std::uint64_t>(message.type), message.tree,
                      message.sequence, message.figures.sum.daemons,
                      std::move(names), std::move(zones), std::move(coverage),
                      message.has_servers ? 1U : 0U, std::move(servers)});
}

// Keeps the first `count` elements of `loads` in order of their outstanding
// requests.
template <typename T>
void KeepMostLoaded(std::size_t count, std::vector<T>& loads) {
  std::stable_sort(loads.begin(), loads.end(), [](const T& a, const T& b) {
    return a.outstanding > b.outstanding;
  });
  loads.resize(std::min(count, loads.size()));
}

// Reads the flat array `array`, `fields` numbers for each element. Calls `read`
// with a reader at the start of each element.
template <typename Read>
void ReadElements(const Json& array,
                  std::string_view field,
                  std::size_t fields,
                  std::optional<Error>& error,
                  Read read) {
  CborReader reader(array, std::string(field), error);
  if (array.size() % fields != 0) {
    reader.Fail("", "has a wrong number of elements");
  }
  for (std::size_t i = 0; i < array.size() / fields && !error; ++i) {
    read(reader);
  }
}

std::uint32_t ReadUint32(CborReader& reader, std::string_view field) {
  return static_cast<std::uint32_t>(reader.Unsigned(field, kMaxUint32));
}

// Reads the position of a name and returns the name.
NameHash ReadName(CborReader& reader,
                  std::string_view field,
                  const std::vector<NameHash>& names) {
  const std::uint64_t index = reader.Unsigned(field);
  if (index >= names.size()) {
    reader.Fail(field, "must be the position of a name");
    return 0;
  }
  return names[index];
}

void ReadFigures(const Json& zones,
                 const Json& coverage,
                 const Json& servers,
                 const std::vector<NameHash>& names,
                 std::optional<Error>& error,
                 FleetFigures& figures) {
  ReadElements(zones, "zones", kZoneLoadFields, error, [&](CborReader& reader) {
    ZoneLoad load;
    load.service = ReadName(reader, "service", names);
    load.zone = ReadName(reader, "zone", names);
    load.outstanding = ReadUint32(reader, "outstanding");
    load.open_flows = ReadUint32(reader, "open_flows");
    load.placed_per_second = ReadUint32(reader, "placed_per_second");
    load.refused_per_second = ReadUint32(reader, "refused_per_second");
    figures.sum.zones.push_back(load);
  });
  ReadElements(
      coverage, "coverage", kCoverageFields, error, [&](CborReader& reader) {
        Coverage part;
        part.zone = ReadName(reader, "zone", names);
        part.daemons = ReadUint32(reader, "daemons");
        part.age = absl::Milliseconds(reader.Unsigned("age", kMaxAgeMs));
        figures.coverage.push_back(part);
      });
  ReadElements(servers, "servers", kServerLoadFields, error,
               [&](CborReader& reader) {
                 ServerLoad load;
                 load.server = ReadUint32(reader, "server");
                 load.outstanding = ReadUint32(reader, "outstanding");
                 load.answers = ReadUint32(reader, "answers");
                 load.slowness = ReadUint32(reader, "slowness");
                 figures.sum.servers.push_back(load);
               });
}

}  // namespace

std::vector<std::uint8_t> Encode(const Message& message) {
  std::vector<std::uint8_t> bytes = Json::to_cbor(ToJson(message));
  Message reduced = message;
  Figures& sum = reduced.figures.sum;
  while (bytes.size() > kMaxMessageBytes &&
         !(sum.servers.empty() && sum.zones.empty())) {
    if (!sum.servers.empty()) {
      KeepMostLoaded(sum.servers.size() * 3 / 4, sum.servers);
    } else {
      KeepMostLoaded(sum.zones.size() * 3 / 4, sum.zones);
    }
    bytes = Json::to_cbor(ToJson(reduced));
  }
  return bytes;
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
  message.tree =
      static_cast<std::uint8_t>(reader.Unsigned("tree", kTreeCount - 1));
  message.sequence = ReadUint32(reader, "sequence");
  message.figures.sum.daemons = ReadUint32(reader, "daemons");
  const Json& name_values = reader.Array("names", kMaxElements);
  const Json& zones = reader.Array("zones", kMaxElements);
  const Json& coverage = reader.Array("coverage", kMaxElements);
  message.has_servers = reader.Bool("has_servers");
  const Json& servers = reader.Array("servers", kMaxElements);
  reader.Finish();
  std::vector<NameHash> names;
  ReadElements(name_values, "names", 1, error,
               [&](CborReader& r) { names.push_back(ReadUint32(r, "name")); });
  if (!error) {
    ReadFigures(zones, coverage, servers, names, error, message.figures);
  }
  if (error) {
    return *error;
  }
  return message;
}

}  // namespace gcw::load
