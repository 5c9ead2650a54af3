#include "src/lease/records.h"

#include <nlohmann/json.hpp>

namespace gcw::lease {
namespace {

using Json = nlohmann::json;

Json ParseJson(std::string_view text) {
  constexpr bool kAllowExceptions = false;
  return Json::parse(text.begin(), text.end(), nullptr, kAllowExceptions);
}

std::string StringField(const Json& object, const char* field) {
  const auto it = object.find(field);
  return it != object.end() && it->is_string() ? it->get<std::string>()
                                               : std::string();
}

}  // namespace

std::string ToJson(const LeaseRecord& record) {
  return Json{{"holder", record.holder},
              {"op", record.op},
              {"released", record.released}}
      .dump();
}

std::string ToJson(const GuardedRecord& record) {
  return Json{{"fence", record.fence},
              {"op", record.op},
              {"data", ParseJson(record.data)}}
      .dump();
}

LeaseRecord ParseLease(std::string_view json) {
  const Json value = ParseJson(json);
  LeaseRecord record;
  if (!value.is_object()) {
    return record;
  }
  record.holder = StringField(value, "holder");
  record.op = StringField(value, "op");
  const auto released = value.find("released");
  record.released = released != value.end() && released->is_boolean() &&
                    released->get<bool>();
  return record;
}

GuardedRecord ParseGuarded(std::string_view json) {
  const Json value = ParseJson(json);
  GuardedRecord record;
  if (value.is_discarded()) {
    return record;
  }
  const bool guarded = value.is_object() && value.contains("fence") &&
                       value["fence"].is_number_unsigned() &&
                       value.contains("data");
  if (!guarded) {
    record.data = value.dump();
    return record;
  }
  record.fence = value["fence"].get<Version>();
  record.op = StringField(value, "op");
  record.data = value["data"].dump();
  return record;
}

bool IsJson(std::string_view text) {
  return Json::accept(text.begin(), text.end());
}

}  // namespace gcw::lease
