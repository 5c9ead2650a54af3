#ifndef GCW_BASE_CBOR_READER_H_
#define GCW_BASE_CBOR_READER_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "gcw/base/result.h"

namespace gcw {

// Parses CBOR bytes that came from elsewhere into a document whose nesting is
// bounded, so that hostile bytes cannot exhaust the stack. Nothing may follow
// the document. Empty on any fault. Thread-safe.
std::optional<nlohmann::json> ParseCbor(std::span<const std::uint8_t> bytes,
                                        int max_depth);

// Reads the elements of a CBOR array in order and checks each for type and
// range. The first fault is kept in `error`; after it every read gives a
// default value, so a decoder checks once at its end. Not thread-safe.
class CborReader {
 public:
  // `value`, `error` must outlive the reader. `path` names the array in errors.
  CborReader(const nlohmann::json& value,
             std::string path,
             std::optional<Error>& error)
      : value_(value), path_(std::move(path)), error_(error) {
    if (!value_.is_array()) {
      Fail("", "must be an array");
    }
  }

  // An integer from 0 to `max`.
  std::uint64_t Unsigned(
      std::string_view field,
      std::uint64_t max = std::numeric_limits<std::uint64_t>::max()) {
    const nlohmann::json* item = Next(field);
    if (item == nullptr) {
      return 0;
    }
    if (!item->is_number_unsigned() || item->get<std::uint64_t>() > max) {
      Fail(field, "must be an unsigned number in range");
      return 0;
    }
    return item->get<std::uint64_t>();
  }

  bool Bool(std::string_view field) { return Unsigned(field, 1) == 1; }

  // A text of at most `max_bytes`.
  std::string Text(std::string_view field, std::size_t max_bytes) {
    const nlohmann::json* item = Next(field);
    if (item == nullptr) {
      return {};
    }
    if (!item->is_string() ||
        item->get_ref<const std::string&>().size() > max_bytes) {
      Fail(field, "must be a text of allowed length");
      return {};
    }
    return item->get<std::string>();
  }

  // A byte string of at most `max_bytes`.
  std::vector<std::uint8_t> Bytes(std::string_view field,
                                  std::size_t max_bytes) {
    const nlohmann::json* item = Next(field);
    if (item == nullptr) {
      return {};
    }
    if (!item->is_binary() || item->get_binary().size() > max_bytes) {
      Fail(field, "must be bytes of allowed length");
      return {};
    }
    return item->get_binary();
  }

  // An array of at most `max_items`; an empty one on a fault. The reference is
  // valid as long as the document.
  const nlohmann::json& Array(std::string_view field, std::size_t max_items) {
    static const nlohmann::json empty = nlohmann::json::array();
    const nlohmann::json* item = Next(field);
    if (item == nullptr) {
      return empty;
    }
    if (!item->is_array() || item->size() > max_items) {
      Fail(field, "must be an array of allowed length");
      return empty;
    }
    return *item;
  }

  // Call after the last element: more of them are a fault.
  void Finish() {
    if (!error_ && next_ != value_.size()) {
      Fail("", "has more elements than known");
    }
  }

  // Notes a fault at `field` unless there is one already.
  void Fail(std::string_view field, std::string_view message) {
    if (error_) {
      return;
    }
    std::string full = path_;
    if (!field.empty()) {
      full += full.empty() ? "" : ".";
      full += field;
    }
    error_ = Error{ResultCode::kMalformedMessage, full, std::string(message)};
  }

 private:
  const nlohmann::json* Next(std::string_view field) {
    if (error_) {
      return nullptr;
    }
    if (next_ >= value_.size()) {
      Fail(field, "is missing");
      return nullptr;
    }
    return &value_[next_++];
  }

  const nlohmann::json& value_;
  std::string path_;
  std::optional<Error>& error_;
  std::size_t next_ = 0;
};

}  // namespace gcw

#endif  // GCW_BASE_CBOR_READER_H_
