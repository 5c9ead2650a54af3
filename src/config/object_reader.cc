#include "gcw/config/object_reader.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <utility>

namespace gcw::config {
namespace {

using nlohmann::json;

// 224.0.0.0: multicast and reserved addresses start here.
constexpr std::uint32_t kFirstMulticastIp = 0xe0000000;

bool IsNameChar(char c) {
  return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
}

// Parser callback that detects duplicate field names and nesting deeper than
// kMaxJsonDepth, both of which the JSON library accepts.
class DuplicateAndDepthCheck {
 public:
  bool OnEvent(int depth, json::parse_event_t event, const json& parsed) {
    if (depth > kMaxJsonDepth) {
      SetError(fmt::format("nested deeper than {} levels", kMaxJsonDepth));
    }
    if (event == json::parse_event_t::object_start) {
      names_.emplace_back();
    } else if (event == json::parse_event_t::object_end) {
      names_.pop_back();
    } else if (event == json::parse_event_t::key) {
      AddName(parsed.get_ref<const std::string&>());
    }
    return true;
  }

  const std::string& error() const { return error_; }

 private:
  void AddName(const std::string& name) {
    if (!names_.back().insert(name).second) {
      SetError(fmt::format("field '{}' occurs twice in one object", name));
    }
  }

  void SetError(std::string text) {
    if (error_.empty()) {
      error_ = std::move(text);
    }
  }

  std::vector<std::set<std::string>> names_;
  std::string error_;
};

}  // namespace

Result<json> ParseJson(std::string_view text) {
  DuplicateAndDepthCheck check;
  const auto callback = [&](int depth, json::parse_event_t event,
                            json& parsed) {
    return check.OnEvent(depth, event, parsed);
  };
  try {
    json value = json::parse(text.begin(), text.end(), callback);
    if (!check.error().empty()) {
      return Error{ResultCode::kMalformedJson, "", check.error()};
    }
    return value;
  } catch (const json::exception& e) {
    return Error{ResultCode::kMalformedJson, "", e.what()};
  }
}

bool IsName(std::string_view text) {
  if (text.empty() || text.size() > kMaxNameLength) {
    return false;
  }
  if (text.front() == '-' || text.back() == '-') {
    return false;
  }
  return std::all_of(text.begin(), text.end(), IsNameChar);
}

std::string FieldPath(std::string_view path, std::string_view key) {
  if (path.empty()) {
    return std::string(key);
  }
  return fmt::format("{}.{}", path, key);
}

bool ReadEndpointValue(const json& value,
                       const std::string& path,
                       std::vector<Error>* errors,
                       Endpoint* target) {
  if (!value.is_string()) {
    errors->push_back(
        {ResultCode::kInvalidField, path, "must be a string ADDRESS:PORT"});
    return false;
  }
  const Result<Endpoint> parsed =
      Endpoint::Parse(value.get_ref<const std::string&>());
  if (!parsed.ok()) {
    errors->push_back(
        {ResultCode::kInvalidField, path, parsed.error().message});
    return false;
  }
  const std::uint32_t ip = parsed.value().ip;
  if (ip == 0 || ip >= kFirstMulticastIp) {
    errors->push_back(
        {ResultCode::kInvalidField, path, "must be a unicast address"});
    return false;
  }
  *target = parsed.value();
  return true;
}

ObjectReader::ObjectReader(const json& value,
                           std::string path,
                           std::vector<Error>* errors)
    : value_(value), path_(std::move(path)), errors_(errors) {
  if (!value_.is_object()) {
    errors_->push_back(
        {ResultCode::kInvalidField, path_, "must be a JSON object"});
  }
}

bool ObjectReader::Has(std::string_view key) const {
  return value_.is_object() && value_.contains(std::string(key));
}

const json* ObjectReader::Find(std::string_view key, Presence presence) {
  read_keys_.emplace(key);
  if (Has(key)) {
    return &value_.at(std::string(key));
  }
  if (presence == Presence::kRequired && value_.is_object()) {
    Report(ResultCode::kMissingField, key, "is required");
  }
  return nullptr;
}

void ObjectReader::Report(ResultCode code,
                          std::string_view key,
                          std::string message) {
  errors_->push_back({code, FieldPath(path_, key), std::move(message)});
}

void ObjectReader::ReadString(std::string_view key,
                              Presence presence,
                              std::size_t max_length,
                              std::string* target) {
  const json* field = Find(key, presence);
  if (field == nullptr) {
    return;
  }
  if (!field->is_string()) {
    Report(ResultCode::kInvalidField, key, "must be a string");
    return;
  }
  const auto& text = field->get_ref<const std::string&>();
  if (text.size() > max_length) {
    Report(ResultCode::kInvalidField, key,
           fmt::format("must be at most {} bytes long", max_length));
    return;
  }
  *target = text;
}

void ObjectReader::ReadName(std::string_view key,
                            Presence presence,
                            std::string* target) {
  const json* field = Find(key, presence);
  if (field == nullptr) {
    return;
  }
  if (!field->is_string() || !IsName(field->get_ref<const std::string&>())) {
    Report(ResultCode::kInvalidField, key,
           fmt::format("must be a name: 1 to {} characters out of a-z, 0-9 and "
                       "'-', with no '-' at either end",
                       kMaxNameLength));
    return;
  }
  *target = field->get<std::string>();
}

void ObjectReader::ReadUint(std::string_view key,
                            Presence presence,
                            std::uint32_t min,
                            std::uint32_t max,
                            std::uint32_t* target) {
  const json* field = Find(key, presence);
  if (field == nullptr) {
    return;
  }
  // The JSON library stores a negative number as signed, and an integer beyond
  // 64 bits as double.
  const bool is_unsigned = field->is_number_unsigned();
  const std::uint64_t number = is_unsigned ? field->get<std::uint64_t>() : 0;
  if (!is_unsigned || number < min || number > max) {
    Report(ResultCode::kInvalidField, key,
           fmt::format("must be an integer from {} to {}", min, max));
    return;
  }
  *target = static_cast<std::uint32_t>(number);
}

void ObjectReader::ReadNumber(std::string_view key,
                              Presence presence,
                              double min,
                              double max,
                              double* target) {
  const json* field = Find(key, presence);
  if (field == nullptr) {
    return;
  }
  const double number = field->is_number() ? field->get<double>() : min - 1;
  if (!field->is_number() || number < min || number > max) {
    Report(ResultCode::kInvalidField, key,
           fmt::format("must be a number from {} to {}", min, max));
    return;
  }
  *target = number;
}

void ObjectReader::ReadBool(std::string_view key,
                            Presence presence,
                            bool* target) {
  const json* field = Find(key, presence);
  if (field == nullptr) {
    return;
  }
  if (!field->is_boolean()) {
    Report(ResultCode::kInvalidField, key, "must be true or false");
    return;
  }
  *target = field->get<bool>();
}

void ObjectReader::ReadEndpoint(std::string_view key,
                                Presence presence,
                                Endpoint* target) {
  const json* field = Find(key, presence);
  if (field != nullptr) {
    ReadEndpointValue(*field, FieldPath(path_, key), errors_, target);
  }
}

void ObjectReader::ReadEnum(std::string_view key,
                            Presence presence,
                            std::initializer_list<std::string_view> words,
                            std::size_t* target) {
  const json* field = Find(key, presence);
  if (field == nullptr) {
    return;
  }
  const auto* it = field->is_string()
                       ? std::find(words.begin(), words.end(),
                                   field->get_ref<const std::string&>())
                       : words.end();
  if (it == words.end()) {
    Report(ResultCode::kInvalidField, key,
           fmt::format("must be one of: {}", fmt::join(words, ", ")));
    return;
  }
  *target = static_cast<std::size_t>(it - words.begin());
}

void ObjectReader::ReadArray(
    std::string_view key,
    Presence presence,
    std::size_t max_size,
    const std::function<void(const json&, std::string)>& read) {
  const json* field = Find(key, presence);
  if (field == nullptr) {
    return;
  }
  if (!field->is_array()) {
    Report(ResultCode::kInvalidField, key, "must be an array");
    return;
  }
  if (field->size() > max_size) {
    Report(ResultCode::kTooLarge, key,
           fmt::format("must have at most {} elements", max_size));
    return;
  }
  for (std::size_t i = 0; i < field->size(); ++i) {
    read(field->at(i), fmt::format("{}[{}]", FieldPath(path_, key), i));
  }
}

void ObjectReader::ReadValue(
    std::string_view key,
    Presence presence,
    const std::function<void(const json&, std::string)>& read) {
  const json* field = Find(key, presence);
  if (field != nullptr) {
    read(*field, FieldPath(path_, key));
  }
}

void ObjectReader::Finish() {
  ReportUnknown(errors_);
}

void ObjectReader::ReportUnknown(std::vector<Error>* target) const {
  if (!value_.is_object()) {
    return;
  }
  for (const auto& [key, unused] : value_.items()) {
    if (!read_keys_.contains(key)) {
      target->push_back({ResultCode::kUnknownField, FieldPath(path_, key),
                         "is not a known field"});
    }
  }
}

}  // namespace gcw::config
