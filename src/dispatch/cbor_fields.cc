#include "src/dispatch/cbor_fields.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace gcw::dispatch {
namespace {

// Longer durations are read as this one, one hour.
constexpr std::int64_t kMaxDeadlineMs = 3'600'000;

const nlohmann::json& Empty() {
  static const nlohmann::json empty = nlohmann::json::object();
  return empty;
}

const nlohmann::json& EmptyList() {
  static const nlohmann::json empty = nlohmann::json::array();
  return empty;
}

// nlohmann::json throws for impossible lengths even with exceptions turned off.
nlohmann::json ParseOrDiscard(std::span<const std::uint8_t> bytes) {
  try {
    return nlohmann::json::from_cbor(bytes.begin(), bytes.end(), true, false);
  } catch (const nlohmann::json::exception&) {
    return nlohmann::json(nlohmann::json::value_t::discarded);
  }
}

}  // namespace

Result<nlohmann::json> ParseCborMap(std::span<const std::uint8_t> bytes) {
  const nlohmann::json map = ParseOrDiscard(bytes);
  if (map.is_discarded()) {
    return Error{ResultCode::kMalformedMessage, "", "not valid CBOR"};
  }
  if (!map.is_object()) {
    return Error{ResultCode::kMalformedMessage, "", "not a CBOR map"};
  }
  return map;
}

nlohmann::json CborBytes(const Bytes& bytes) {
  return nlohmann::json::binary(bytes);
}

FieldReader::FieldReader(const nlohmann::json& map, std::string path)
    : map_(map), path_(std::move(path)) {}

std::string FieldReader::Path(const char* name) const {
  return path_.empty() ? name : path_ + "." + name;
}

void FieldReader::Fail(const char* name, const std::string& message) {
  if (ok()) {
    error_ = Error{ResultCode::kMalformedMessage, Path(name), message};
  }
}

void FieldReader::AdoptError(const FieldReader& inner) {
  if (ok() && !inner.ok()) {
    error_ = inner.error();
  }
}

const nlohmann::json* FieldReader::Find(const char* name, bool required) {
  const auto it = map_.find(name);
  if (map_.is_object() && it != map_.end()) {
    return &*it;
  }
  if (required) {
    Fail(name, "is missing");
  }
  return nullptr;
}

std::string FieldReader::Text(const char* name, bool required) {
  const nlohmann::json* value = Find(name, required);
  if (value == nullptr) {
    return "";
  }
  if (!value->is_string()) {
    Fail(name, "is not text");
    return "";
  }
  const std::string& text = value->get_ref<const std::string&>();
  if (text.size() > kMaxIdBytes || (required && text.empty())) {
    Fail(name, "must have 1 to 128 bytes");
    return "";
  }
  return text;
}

std::uint64_t FieldReader::Number(const char* name,
                                  std::uint64_t limit,
                                  bool required) {
  const nlohmann::json* value = Find(name, required);
  if (value == nullptr) {
    return 0;
  }
  if (!value->is_number_unsigned()) {
    Fail(name, "is not an unsigned number");
    return 0;
  }
  const auto number = value->get<std::uint64_t>();
  if (number > limit) {
    Fail(name, "must be at most " + std::to_string(limit));
    return 0;
  }
  return number;
}

double FieldReader::Real(const char* name) {
  const nlohmann::json* value = Find(name, true);
  if (value == nullptr) {
    return 0;
  }
  const double number = value->is_number() ? value->get<double>() : -1;
  if (!std::isfinite(number) || number < 0) {
    Fail(name, "is not a finite number >= 0");
    return 0;
  }
  return number;
}

bool FieldReader::Flag(const char* name, bool required) {
  const nlohmann::json* value = Find(name, required);
  if (value == nullptr) {
    return false;
  }
  if (!value->is_boolean()) {
    Fail(name, "is not a boolean");
    return false;
  }
  return value->get<bool>();
}

Bytes FieldReader::Binary(const char* name, std::size_t limit) {
  const nlohmann::json* value = Find(name, true);
  if (value == nullptr) {
    return {};
  }
  if (!value->is_binary()) {
    Fail(name, "is not a byte string");
    return {};
  }
  if (value->get_binary().size() > limit) {
    Fail(name, "must have at most " + std::to_string(limit) + " bytes");
    return {};
  }
  return value->get_binary();
}

absl::Duration FieldReader::Milliseconds(const char* name) {
  const nlohmann::json* value = Find(name, true);
  if (value == nullptr) {
    return absl::ZeroDuration();
  }
  if (!value->is_number_integer()) {
    Fail(name, "is not a whole number of milliseconds");
    return absl::ZeroDuration();
  }
  if (value->is_number_unsigned() &&
      value->get<std::uint64_t>() > kMaxDeadlineMs) {
    return absl::Milliseconds(kMaxDeadlineMs);
  }
  return absl::Milliseconds(
      std::max<std::int64_t>(value->get<std::int64_t>(), 0));
}

const nlohmann::json& FieldReader::Map(const char* name) {
  const nlohmann::json* value = Find(name, true);
  if (value != nullptr && value->is_object()) {
    return *value;
  }
  Fail(name, "is not a map");
  return Empty();
}

const nlohmann::json& FieldReader::List(const char* name) {
  const nlohmann::json* value = Find(name, true);
  if (value != nullptr && value->is_array()) {
    return *value;
  }
  Fail(name, "is not a list");
  return EmptyList();
}

}  // namespace gcw::dispatch
