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

// Parses one CBOR map. Fails with kMalformedMessage.
Result<nlohmann::json> ParseCborMap(std::span<const std::uint8_t> bytes);

nlohmann::json CborBytes(const Bytes& bytes);

// Reads typed fields of a CBOR map and keeps the first error. After an error
// each read gives a default value. `map` must outlive the reader.
class FieldReader {
 public:
  FieldReader(const nlohmann::json& map, std::string path);

  std::string Text(const char* name, bool required = true);
  std::uint64_t Number(const char* name,
                       std::uint64_t limit,
                       bool required = true);
  double Real(const char* name);
  bool Flag(const char* name, bool required = true);
  Bytes Binary(const char* name, std::size_t limit);
  absl::Duration Milliseconds(const char* name);
  const nlohmann::json& Map(const char* name);
  const nlohmann::json& List(const char* name);
  bool Has(const char* name) const { return map_.contains(name); }
  std::string Path(const char* name) const;

  void Fail(const char* name, const std::string& message);
  // Takes over the error of a reader of an inner map.
  void AdoptError(const FieldReader& inner);
  bool ok() const { return !error_.has_value(); }
  const Error& error() const { return *error_; }

 private:
  const nlohmann::json* Find(const char* name, bool required);

  const nlohmann::json& map_;
  std::string path_;
  std::optional<Error> error_;
};

}  // namespace gcw::dispatch

#endif  // GCW_DISPATCH_CBOR_FIELDS_H_
