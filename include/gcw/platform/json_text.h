#ifndef GCW_PLATFORM_JSON_TEXT_H_
#define GCW_PLATFORM_JSON_TEXT_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace gcw::platform {

// Splits JSON text at its brackets, quotes and commas without decoding what is
// between them. A JSON parser rejects a whole document for one value that it
// cannot decode. Split first, the other values of the document remain readable.

// The most levels of arrays and objects in a document that DecodeJson()
// decodes. The limit keeps recursive operations of the JSON library from
// exhausting the stack.
inline constexpr std::size_t kMaxJsonDepth = 64;

// Returns whether arrays and objects in `text` are nested deeper than `levels`.
// Thread-safe.
bool IsNestedDeeper(std::string_view text, std::size_t levels);

// A member of a JSON object.
struct JsonMember {
  std::string_view name;   // As written, without the quotes.
  std::string_view value;  // As written.
};

// Splits the text of a JSON object into its members. If the brackets or quotes
// of a value do not match, the rest of `text` is that value, and the last one.
// Text that does not begin like an object has no members. The views point into
// `text`. Thread-safe.
std::vector<JsonMember> SplitJsonObject(std::string_view text);

// Returns the value of the first member `name`, or an empty view. Thread-safe.
std::string_view FindJsonMember(const std::vector<JsonMember>& members,
                                std::string_view name);

// Returns a short JSON string that replaces a value that is of no use because
// of `reason`. Thread-safe.
std::string UnreadableValue(std::string_view reason);

// Returns the reason in the JSON text `value` that UnreadableValue() returned,
// as JSON escapes it, or an empty view for other values. Thread-safe.
std::string_view UnreadableReason(std::string_view value);

// Returns the JSON document `text` in compact form, for a value whose writer is
// unknown. If `text` is empty, longer than `max_bytes`, nested deeper than
// kMaxJsonDepth or no JSON, returns an UnreadableValue() that says so. The
// result is always valid JSON. Thread-safe.
std::string CompactJson(std::string_view text, std::size_t max_bytes);

}  // namespace gcw::platform

#endif  // GCW_PLATFORM_JSON_TEXT_H_
