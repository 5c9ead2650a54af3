#ifndef GCW_DISPATCH_CBOR_FIELDS_H_
#define GCW_DISPATCH_CBOR_FIELDS_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>

#include "absl/time/time.h"
#include "gcw/base/result.h"
#include "gcw/dispatch/messages.h"
#include "nlohmann/json.hpp"

namespace gcw::dispatch {

// Parses one CBOR map. Fails with kMalformedMessage. Thread-safe.
Result<nlohmann::json> ParseCborMap(std::span<const std::uint8_t> bytes);

// Returns a CBOR byte string. Thread-safe.
nlohmann::json CborBytes(const Bytes& bytes);

// Reads typed fields of a CBOR map and keeps the first error. A field that is
// missing or invalid reads as a default value. Not thread-safe.
class FieldReader {
 public:
  // `map` must outlive the reader. `path` names the map in errors; it is empty
  // for the outermost map.
  FieldReader(const nlohmann::json& map, std::string path);

  // Text of 1 to kMaxIdBytes bytes; may be empty if not required.

  std::string Text(const char* name, bool required = true);
  // An unsigned number up to `limit`.
  std::uint64_t Number(const char* name,
                       std::uint64_t limit,
                       bool required = true);
  // A finite number, at least 0.
  double Real(const char* name);
  bool Flag(const char* name, bool required = true);
  // A byte string of at most `limit` bytes.
  Bytes Binary(const char* name, std::size_t limit);
  // A duration: negative numbers read as zero, numbers above one hour as one
  // hour.
  absl::Duration Milliseconds(const char* name);
  // A nested map or list; empty after an error.
  const nlohmann::json& Map(const char* name);
  const nlohmann::json& List(const char* name);
  bool Has(const char* name) const { return map_.contains(name); }
  // The full path of field `name`, for errors.
  std::string Path(const char* name) const;

  // Records an error of field `name`, unless there is one already.
  void Fail(const char* name, const std::string& message);
  // Takes over the error of the reader of a nested map, unless there is one
  // already.
  void AdoptError(const FieldReader& inner);
  bool ok() const { return !error_.has_value(); }
  // Precondition: !ok().
  const Error& error() const { return *error_; }

 private:
  const nlohmann::json* Find(const char* name, bool required);

  const nlohmann::json& map_;
  std::string path_;
  std::optional<Error> error_;
};

}  // namespace gcw::dispatch

#endif  // GCW_DISPATCH_CBOR_FIELDS_H_
