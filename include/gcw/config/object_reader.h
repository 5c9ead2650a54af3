#ifndef GCW_CONFIG_OBJECT_READER_H_
#define GCW_CONFIG_OBJECT_READER_H_

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "gcw/base/endpoint.h"
#include "gcw/base/result.h"

namespace gcw::config {

// Whether the absence of a field is an error.
enum class Presence { kRequired, kOptional };

// Maximum nesting depth of objects and arrays in JSON text.
inline constexpr int kMaxJsonDepth = 16;
// Maximum length of a resource name, in characters.
inline constexpr std::size_t kMaxNameLength = 63;

// Parses `text` as one JSON value. Fails with kMalformedJson if `text` is not
// valid JSON, if an object has two fields with the same name, or if objects and
// arrays are nested deeper than kMaxJsonDepth. Thread-safe.
Result<nlohmann::json> ParseJson(std::string_view text);

// Returns whether `text` is a valid resource name: 1 to kMaxNameLength
// characters out of a-z, 0-9 and '-', with no '-' at either end. Thread-safe.
bool IsName(std::string_view text);

// Returns the path of field `key` in the object at `path`, for example
// "limits.queue". An empty `path` stands for the outermost object. Thread-safe.
std::string FieldPath(std::string_view path, std::string_view key);

// Reads and validates the fields of one JSON object. Appends an error with the
// field path to `errors` for each invalid field and for each absent field that
// is required. A read method leaves `*target` unchanged if the field is invalid
// or absent. Not thread-safe. The JSON value and the error list that are passed
// to the constructor must outlive the reader.
class ObjectReader {
 public:
  // Reports kInvalidField if `value` is not a JSON object, and then treats
  // `value` as an object without fields. `path` is the path of `value` in the
  // whole document, empty for the outermost object.
  ObjectReader(const nlohmann::json& value,
               std::string path,
               std::vector<Error>* errors);

  // Returns whether the object has a field `key`. Does not mark the field as
  // read, so Finish() still reports it as unknown.
  bool Has(std::string_view key) const;

  // Reads a string of at most `max_length` bytes.
  void ReadString(std::string_view key,
                  Presence presence,
                  std::size_t max_length,
                  std::string* target);
  // Reads a string that satisfies IsName().
  void ReadName(std::string_view key, Presence presence, std::string* target);
  // Reads an integer from `min` to `max`, both included.
  void ReadUint(std::string_view key,
                Presence presence,
                std::uint32_t min,
                std::uint32_t max,
                std::uint32_t* target);
  // Reads an integer or floating-point number from `min` to `max`, both
  // included.
  void ReadNumber(std::string_view key,
                  Presence presence,
                  double min,
                  double max,
                  double* target);
  // Reads true or false.
  void ReadBool(std::string_view key, Presence presence, bool* target);
  // Reads a unicast IPv4 address and port from a string "a.b.c.d:port".
  void ReadEndpoint(std::string_view key, Presence presence, Endpoint* target);
  // Reads a string that equals one of `words` and sets `*target` to the index
  // of that word.
  void ReadEnum(std::string_view key,
                Presence presence,
                std::initializer_list<std::string_view> words,
                std::size_t* target);
  // Reads an array of at most `max_size` elements: calls `read` with each
  // element and the element's path.
  void ReadArray(
      std::string_view key,
      Presence presence,
      std::size_t max_size,
      const std::function<void(const nlohmann::json&, std::string)>& read);
  // Calls `read` with the value of the field, which may have any type, and the
  // path of the field.
  void ReadValue(
      std::string_view key,
      Presence presence,
      const std::function<void(const nlohmann::json&, std::string)>& read);

  // Appends an error for the field `key`.
  void Report(ResultCode code, std::string_view key, std::string message);
  // Reports kUnknownField for each field that no read method has been called
  // for. To be called after all fields have been read.
  void Finish();
  // As Finish(), but appends the errors to `target`.
  void ReportUnknown(std::vector<Error>* target) const;

 private:
  // Returns the value of the field `key`, or null if the field is absent; an
  // absent required field is reported. Marks the field as read.
  const nlohmann::json* Find(std::string_view key, Presence presence);

  const nlohmann::json& value_;
  std::string path_;
  std::vector<Error>* errors_;
  std::set<std::string, std::less<>> read_keys_;
};

// Parses the JSON string `value`, "a.b.c.d:port" with a unicast address, into
// `*target`. If `value` is invalid, appends an error for `path` and returns
// false. Thread-safe, provided that threads do not share `errors` or `target`.
bool ReadEndpointValue(const nlohmann::json& value,
                       const std::string& path,
                       std::vector<Error>* errors,
                       Endpoint* target);

}  // namespace gcw::config

#endif  // GCW_CONFIG_OBJECT_READER_H_
