#ifndef GCW_PLATFORM_DECODE_JSON_H_
#define GCW_PLATFORM_DECODE_JSON_H_

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string_view>

#include "gcw/base/result.h"

namespace gcw::platform {

// To be thrown by the `read` function of DecodeJson() for a value that has the
// right type but is invalid.
class BadValue : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Parses JSON text from an untrusted source and returns the result of `read`,
// which takes the parsed document. Malformed JSON, a value of the wrong type,
// an absent field and a BadValue make the result kPlatformBadAnswer; no JSON
// exception is passed on. Thread-safe.
template <typename T, typename Read>
Result<T> DecodeJson(std::string_view text, const Read& read) {
  try {
    return read(nlohmann::json::parse(text.begin(), text.end()));
  } catch (const nlohmann::json::exception& e) {
    return Error{ResultCode::kPlatformBadAnswer, "", e.what()};
  } catch (const BadValue& e) {
    return Error{ResultCode::kPlatformBadAnswer, "", e.what()};
  }
}

}  // namespace gcw::platform

#endif  // GCW_PLATFORM_DECODE_JSON_H_
