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

// Parses untrusted CBOR bytes. Returns nullopt if the bytes are malformed, if
// further bytes follow the document, or if arrays and objects nest deeper than
// `max_depth`; the limit keeps hostile input from exhausting the stack.
// Thread-safe.
std::optional<nlohmann::json> ParseCbor(std::span<const std::uint8_t> bytes,
                                        int max_depth);

// Reads the elements of a CBOR array in order and checks the type and range of
// each. The first error is stored in `error`. After it every read returns a
// default value, so a decoder needs to check `error` only once, at its end.
// Each read takes the next element; `field` names that element in errors. Not
// thread-safe.
class CborReader {
 public:
  // Reads from `value`, which must be an array; otherwise sets `error`. `path`
  // names the array in errors. Precondition: `value` and `error` outlive the
  // reader.
  CborReader(const nlohmann::json& value,
             std::string path,
             std::optional<Error>& error)
      : value_(value), path_(std::move(path)), error_(error) {
    if (!value_.is_array()) {
      Fail("", "must be an array");
    }
  }

  // Reads an integer from 0 to `max`; returns 0 on an error.
  std::uint64_t Unsigned(
      std::string_view field,
      std::uint64_t max = std::numeric_limits<std::uint64_t>::max()) {
    const nlohmann::json* item = Next(field);
    if (item == nullptr) {
      return 0;
    }
    if (!item->is_number_unsigned() || item->get<std::uint64_t>() > max) {
      Fail(field, "must be an unsigned integer within the allowed range");
      return 0;
    }
    return item->get<std::uint64_t>();
  }

  // Reads a Boolean, encoded as the integer 0 or 1; returns false on an error.
  bool Bool(std::string_view field) { return Unsigned(field, 1) == 1; }

  // Reads a text string of at most `max_bytes` bytes; returns an empty string
  // on an error.
  std::string Text(std::string_view field, std::size_t max_bytes) {
    const nlohmann::json* item = Next(field);
    if (item == nullptr) {
      return {};
    }
    if (!item->is_string() ||
        item->get_ref<const std::string&>().size() > max_bytes) {
      Fail(field, "must be a text string within the allowed length");
      return {};
    }
    return item->get<std::string>();
  }

  // Reads a byte string of at most `max_bytes` bytes; returns an empty vector
  // on an error.
  std::vector<std::uint8_t> Bytes(std::string_view field,
                                  std::size_t max_bytes) {
    const nlohmann::json* item = Next(field);
    if (item == nullptr) {
      return {};
    }
    if (!item->is_binary() || item->get_binary().size() > max_bytes) {
      Fail(field, "must be a byte string within the allowed length");
      return {};
    }
    return item->get_binary();
  }

  // Reads an array of at most `max_items` elements; returns an empty array on
  // an error. The reference is valid as long as the document given to the
  // constructor.
  const nlohmann::json& Array(std::string_view field, std::size_t max_items) {
    static const nlohmann::json empty = nlohmann::json::array();
    const nlohmann::json* item = Next(field);
    if (item == nullptr) {
      return empty;
    }
    if (!item->is_array() || item->size() > max_items) {
      Fail(field, "must be an array within the allowed length");
      return empty;
    }
    return *item;
  }

  // Must be called after the last expected element. Sets `error` if the array
  // has more elements.
  void Finish() {
    if (!error_ && next_ != value_.size()) {
      Fail("", "has more elements than expected");
    }
  }

  // Stores an error for `field` unless an earlier one is stored. An empty
  // `field` stands for the array itself.
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
  // Returns the next element; returns nullptr if there is none or an error is
  // stored.
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
