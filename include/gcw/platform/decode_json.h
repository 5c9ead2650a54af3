#ifndef GCW_PLATFORM_DECODE_JSON_H_
#define GCW_PLATFORM_DECODE_JSON_H_

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <string_view>

#include "gcw/base/result.h"
#include "gcw/base/store_version.h"
#include "gcw/platform/json_text.h"

namespace gcw::platform {

// To be thrown by the `read` function of DecodeJson() for a value that has the
// right type but is invalid.
class BadValue : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Returns the number in `value`. Throws a json exception unless it is an
// unsigned integer: the library would convert others without a check.
// Thread-safe.
inline std::uint64_t ReadUnsigned(const nlohmann::json& value) {
  return value.get_ref<const nlohmann::json::number_unsigned_t&>();
}

// Returns the version in `value`, without the epoch. Throws a json exception or
// BadValue unless it is an integer from 1 to kMaxRevision. Thread-safe.
inline StoreVersion ReadRevision(const nlohmann::json& value) {
  const std::uint64_t revision = ReadUnsigned(value);
  if (revision == 0 || revision > kMaxRevision) {
    throw BadValue("revision: out of range");
  }
  return revision;
}

// The error of text that cannot be decoded. An exception's message may quote
// the text, so it is cut to a length that fits a log line. Thread-safe.
inline Error UndecodableText(std::string_view message) {
  constexpr std::size_t kMaxMessageBytes = 200;
  return {ResultCode::kPlatformBadAnswer, "",
          std::string(message.substr(0, kMaxMessageBytes))};
}

// Parses JSON text from an untrusted source and returns the result of `read`,
// which takes the parsed document. Malformed JSON, nesting deeper than
// kMaxJsonDepth, a value of the wrong type, an absent field and a BadValue make
// the result kPlatformBadAnswer; no JSON exception is passed on. Thread-safe.
template <typename T, typename Read>
Result<T> DecodeJson(std::string_view text, const Read& read) {
  if (IsNestedDeeper(text, kMaxJsonDepth)) {
    return UndecodableText("nested too deeply");
  }
  try {
    return read(nlohmann::json::parse(text.begin(), text.end()));
  } catch (const nlohmann::json::exception& e) {
    return UndecodableText(e.what());
  } catch (const BadValue& e) {
    return UndecodableText(e.what());
  }
}

}  // namespace gcw::platform

#endif  // GCW_PLATFORM_DECODE_JSON_H_
