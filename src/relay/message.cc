#include "gcw/relay/message.h"

#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "gcw/base/cbor_reader.h"

namespace gcw::relay {
namespace {

using Json = nlohmann::json;

constexpr int kMaxDepth = 4;
constexpr std::size_t kMaxKeyBytes = 512;
constexpr std::size_t kMaxValueBytes = 1 << 20;
constexpr std::size_t kMaxObjects = 1 << 16;

// The kind of a message, which is the first element of its CBOR array.
enum class Kind : std::uint64_t { kDigest = 1, kRequest = 2, kUpdate = 3 };

Json ToJson(const Object& object) {
  return Json::array({object.key, object.version, object.created,
                      object.deleted ? 1U : 0U, object.json});
}

Json ToJson(const Digest& digest) {
  return Json::array({static_cast<std::uint64_t>(Kind::kDigest),
                      digest.revision, digest.hash});
}

Json ToJson(const Request& request) {
  return Json::array(
      {static_cast<std::uint64_t>(Kind::kRequest), request.since});
}

Json ToJson(const Update& update) {
  Json objects = Json::array();
  for (const Object& object : update.objects) {
    objects.push_back(ToJson(object));
  }
  return Json::array({static_cast<std::uint64_t>(Kind::kUpdate),
                      update.full ? 1U : 0U, update.from, update.to,
                      update.part, update.parts, std::move(objects)});
}

Object ReadObject(const Json& value,
                  std::string path,
                  std::optional<Error>& error) {
  CborReader reader(value, std::move(path), error);
  Object object;
  object.key = reader.Text("key", kMaxKeyBytes);
  object.version = reader.Unsigned("version");
  object.created = reader.Unsigned("created");
  object.deleted = reader.Bool("deleted");
  object.json = reader.Text("json", kMaxValueBytes);
  reader.Finish();
  if (object.key.empty()) {
    reader.Fail("key", "must not be empty");
  }
  if (object.deleted != object.json.empty()) {
    reader.Fail("json", "must be empty if and only if the object is deleted");
  }
  if (object.version == 0 || object.created > object.version) {
    reader.Fail("version", "must not be zero or less than created");
  }
  return object;
}

Digest ReadDigest(CborReader& reader) {
  Digest digest;
  digest.revision = reader.Unsigned("revision");
  digest.hash = reader.Unsigned("hash");
  reader.Finish();
  return digest;
}

Request ReadRequest(CborReader& reader) {
  Request request;
  request.since = reader.Unsigned("since");
  reader.Finish();
  return request;
}

Update ReadUpdate(CborReader& reader, std::optional<Error>& error) {
  Update update;
  update.full = reader.Bool("full");
  update.from = reader.Unsigned("from");
  update.to = reader.Unsigned("to");
  update.part = static_cast<std::uint32_t>(reader.Unsigned("part", kMaxParts));
  update.parts =
      static_cast<std::uint32_t>(reader.Unsigned("parts", kMaxParts));
  const Json& objects = reader.Array("objects", kMaxObjects);
  reader.Finish();
  if (update.part >= update.parts) {
    reader.Fail("part", "must be less than parts");
  }
  if (update.from > update.to) {
    reader.Fail("from", "must not be greater than to");
  }
  for (std::size_t i = 0; i < objects.size() && !error; ++i) {
    const std::string path = "objects[" + std::to_string(i) + "]";
    Object object = ReadObject(objects[i], path, error);
    if (update.full && object.deleted) {
      reader.Fail(path, "must not be a deletion in a full update");
    }
    const bool inside = object.version > update.from || update.full;
    if (!inside || object.version > update.to) {
      reader.Fail(path, "must have a version in the range of the update");
    }
    update.objects.push_back(std::move(object));
  }
  return update;
}

}  // namespace

Version StateRevisionOf(const Message& message) {
  if (const auto* digest = std::get_if<Digest>(&message)) {
    return digest->revision;
  }
  if (const auto* update = std::get_if<Update>(&message)) {
    return update->to;
  }
  return std::get<Request>(message).since;
}

std::vector<std::uint8_t> Encode(const Message& message) {
  return std::visit([](const auto& m) { return Json::to_cbor(ToJson(m)); },
                    message);
}

Result<Message> Decode(std::span<const std::uint8_t> bytes) {
  const std::optional<Json> value = ParseCbor(bytes, kMaxDepth);
  if (!value) {
    return Error{ResultCode::kMalformedMessage, "", "must be valid CBOR"};
  }
  std::optional<Error> error;
  CborReader reader(*value, "", error);
  Message message;
  switch (static_cast<Kind>(reader.Unsigned("kind"))) {
    case Kind::kDigest:
      message = ReadDigest(reader);
      break;
    case Kind::kRequest:
      message = ReadRequest(reader);
      break;
    case Kind::kUpdate:
      message = ReadUpdate(reader, error);
      break;
    default:
      reader.Fail("kind", "must be 1, 2 or 3");
  }
  if (error) {
    return *error;
  }
  return message;
}

}  // namespace gcw::relay
