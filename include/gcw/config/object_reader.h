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

// Whether a field must be there.
enum class Presence { kRequired, kOptional };

// Objects and arrays may be nested this deep.
inline constexpr int kMaxJsonDepth = 16;
inline constexpr std::size_t kMaxNameLength = 63;

// Parses `text` as one JSON value. Fails with kMalformedJson, also for a name
// that stands twice in one object and for nesting beyond kMaxJsonDepth.
// Thread-safe.
Result<nlohmann::json> ParseJson(std::string_view text);

// Whether `text` is a resource name: 1 to kMaxNameLength of a-z, 0-9 and '-',
// with no '-' at either end. Thread-safe.
bool IsName(std::string_view text);

// The path of field `key` in the object at `path`. Thread-safe.
std::string FieldPath(std::string_view path, std::string_view key);

// Reads the fields of one JSON object strictly and reports every wrong one
// with its path. A field that is wrong or absent leaves its target unchanged.
// Not thread-safe. `value` and `errors` must outlive the reader.
class ObjectReader {
 public:
  // A value that is not an object is reported at once and then reads as empty.
  ObjectReader(const nlohmann::json& value,
               std::string path,
               std::vector<Error>* errors);

  // Whether the field is there. Does not count as reading it.
  bool Has(std::string_view key) const;

  void ReadString(std::string_view key,
                  Presence presence,
                  std::size_t max_length,
                  std::string* target);
  // A string that satisfies IsName().
  void ReadName(std::string_view key, Presence presence, std::string* target);
  // An integer from `min` to `max`.
  void ReadUint(std::string_view key,
                Presence presence,
                std::uint32_t min,
                std::uint32_t max,
                std::uint32_t* target);
  void ReadNumber(std::string_view key,
                  Presence presence,
                  double min,
                  double max,
                  double* target);
  void ReadBool(std::string_view key, Presence presence, bool* target);
  // "a.b.c.d:port" of a unicast address.
  void ReadEndpoint(std::string_view key, Presence presence, Endpoint* target);
  // One of `words`; sets `target` to its position.
  void ReadWord(std::string_view key,
                Presence presence,
                std::initializer_list<std::string_view> words,
                std::size_t* target);
  // Calls `read` with each element and its path.
  void ReadArray(
      std::string_view key,
      Presence presence,
      std::size_t max_size,
      const std::function<void(const nlohmann::json&, std::string)>& read);
  // Calls `read` with the value and its path, whatever its type is.
  void ReadValue(
      std::string_view key,
      Presence presence,
      const std::function<void(const nlohmann::json&, std::string)>& read);

  // Reports an error of the field `key`.
  void Report(ResultCode code, std::string_view key, std::string message);
  // Reports each field that nothing has read.
  void Finish();

 private:
  const nlohmann::json* Find(std::string_view key, Presence presence);

  const nlohmann::json& value_;
  std::string path_;
  std::vector<Error>* errors_;
  std::set<std::string, std::less<>> read_;
};

// Parses the unicast endpoint in `value`; reports at `path` if it is none.
// Thread-safe.
bool ReadEndpointValue(const nlohmann::json& value,
                       const std::string& path,
                       std::vector<Error>* errors,
                       Endpoint* target);

}  // namespace gcw::config

#endif  // GCW_CONFIG_OBJECT_READER_H_
