#include "gcw/platform/json_text.h"

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "gcw/platform/decode_json.h"
#include "src/platform/listing_members.h"

namespace gcw::platform {
namespace {

constexpr std::string_view kSpace = " \t\r\n";

bool IsOpening(char c) {
  return c == '{' || c == '[';
}

bool IsClosing(char c) {
  return c == '}' || c == ']';
}

char ClosingOf(char opening) {
  return opening == '{' ? '}' : ']';
}

// Returns the position after the string that starts at `begin`, which must be a
// quote, or npos if the string does not end.
std::size_t EndOfString(std::string_view text, std::size_t begin) {
  std::size_t at = begin + 1;
  while (at < text.size() && text[at] != '"') {
    // A backslash stands with the character that it escapes.
    at += text[at] == '\\' ? 2 : 1;
  }
  return at < text.size() ? at + 1 : std::string_view::npos;
}

// Reads JSON text from the front to the back.
class Scanner {
 public:
  explicit Scanner(std::string_view text, std::size_t at = 0)
      : text_(text), at_(at) {}

  std::size_t position() const { return at_; }
  std::string_view rest() const { return text_.substr(at_); }
  bool AtEnd() {
    SkipSpace();
    return at_ == text_.size();
  }

  // Moves past `c`, if it comes next.
  bool Skip(char c) {
    SkipSpace();
    if (at_ == text_.size() || text_[at_] != c) {
      return false;
    }
    ++at_;
    return true;
  }

  // Moves past a string and returns it without quotes.
  std::optional<std::string_view> String() {
    SkipSpace();
    const std::size_t begin = at_;
    if (at_ == text_.size() || text_[at_] != '"' || !SkipString()) {
      return std::nullopt;
    }
    return text_.substr(begin + 1, at_ - begin - 2);
  }

  // Moves past a value, whose parts need not be valid, and returns it. Returns
  // nothing if its quotes or brackets do not match.
  std::optional<std::string_view> Value() {
    SkipSpace();
    const std::size_t begin = at_;
    std::string open;  // The closing brackets to come.
    while (at_ < text_.size()) {
      const char c = text_[at_];
      if (open.empty() && (c == ',' || IsClosing(c))) {
        break;
      }
      if (c == '"') {
        if (!SkipString()) {
          return std::nullopt;
        }
        continue;
      }
      if (IsOpening(c)) {
        open.push_back(ClosingOf(c));
      } else if (IsClosing(c)) {
        if (open.back() != c) {
          return std::nullopt;
        }
        open.pop_back();
      }
      ++at_;
    }
    if (!open.empty() || at_ == begin) {
      return std::nullopt;
    }
    return text_.substr(begin, at_ - begin);
  }

 private:
  void SkipSpace() {
    at_ = std::min(text_.find_first_not_of(kSpace, at_), text_.size());
  }

  // Moves past a string. What follows a string must be a separator, a closing
  // bracket or the end: anything else shows that a quote is missing.
  bool SkipString() {
    const std::size_t end = EndOfString(text_, at_);
    if (end > text_.size()) {
      return false;
    }
    at_ = end;
    const std::size_t next = text_.find_first_not_of(kSpace, end);
    return next == std::string_view::npos || text_[next] == ',' ||
           text_[next] == ':' || IsClosing(text_[next]);
  }

  std::string_view text_;
  std::size_t at_;
};

// How the reading of an object's members ended.
enum class MembersEnd { kObjectEnded, kAtArray, kDamaged };

// Reads members up to the end of their object into `members`. Stops at the
// value of the member `array`, if that is not empty. Of a member with a damaged
// value, the value is all text that remains.
MembersEnd ReadMembers(Scanner& scanner,
                       std::string_view array,
                       std::vector<JsonMember>& members) {
  if (scanner.Skip('}')) {
    return MembersEnd::kObjectEnded;
  }
  do {
    const auto name = scanner.String();
    if (!name || !scanner.Skip(':')) {
      return MembersEnd::kDamaged;
    }
    if (!array.empty() && *name == array) {
      return MembersEnd::kAtArray;
    }
    const std::string_view rest = scanner.rest();
    const auto value = scanner.Value();
    members.push_back({*name, value.value_or(rest)});
    if (!value) {
      return MembersEnd::kDamaged;
    }
  } while (scanner.Skip(','));
  return scanner.Skip('}') ? MembersEnd::kObjectEnded : MembersEnd::kDamaged;
}

// Begins the JSON string that replaces a value.
constexpr std::string_view kUnreadable = "\"unreadable value: ";
// Longer reasons quote text of the value.
constexpr std::size_t kMaxReasonBytes = 100;
// JSON escapes a byte with at most six. A longer string is another writer's.
constexpr std::size_t kMaxUnreadableBytes =
    kUnreadable.size() + 6 * kMaxReasonBytes + 1;

}  // namespace

bool IsNestedDeeper(std::string_view text, std::size_t levels) {
  std::size_t depth = 0;
  std::size_t at = text.find_first_of("\"{}[]");
  while (at != std::string_view::npos) {
    const char c = text[at];
    if (c == '"') {
      at = EndOfString(text, at);
      if (at > text.size()) {
        return false;
      }
    } else {
      ++at;
      if (IsOpening(c) && ++depth > levels) {
        return true;
      }
      if (IsClosing(c) && depth > 0) {
        --depth;
      }
    }
    at = text.find_first_of("\"{}[]", at);
  }
  return false;
}

std::vector<JsonMember> SplitJsonObject(std::string_view text) {
  std::vector<JsonMember> members;
  Scanner scanner(text);
  if (scanner.Skip('{')) {
    (void)ReadMembers(scanner, "", members);
  }
  return members;
}

std::string_view FindJsonMember(const std::vector<JsonMember>& members,
                                std::string_view name) {
  const auto it = std::find_if(members.begin(), members.end(),
                               [&](const auto& m) { return m.name == name; });
  return it == members.end() ? std::string_view() : it->value;
}

bool ReadMembersBeforeArray(std::string_view text,
                            std::string_view array,
                            std::vector<JsonMember>& members) {
  Scanner scanner(text);
  return scanner.Skip('{') &&
         ReadMembers(scanner, array, members) == MembersEnd::kAtArray;
}

bool ReadMembersAfterArray(std::string_view text,
                           std::vector<JsonMember>& members) {
  Scanner scanner(text);
  const bool ended = scanner.Skip(',') ? ReadMembers(scanner, "", members) ==
                                             MembersEnd::kObjectEnded
                                       : scanner.Skip('}');
  return ended && scanner.AtEnd();
}

std::string UnreadableValue(std::string_view reason) {
  const std::string quoted =
      nlohmann::json(reason.substr(0, kMaxReasonBytes))
          .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return fmt::format("{}{}", kUnreadable, std::string_view(quoted).substr(1));
}

std::string_view UnreadableReason(std::string_view value) {
  if (value.size() > kMaxUnreadableBytes || !value.starts_with(kUnreadable) ||
      !value.ends_with('"')) {
    return {};
  }
  value.remove_prefix(kUnreadable.size());
  return value.substr(0, value.size() - 1);
}

std::string CompactJson(std::string_view text, std::size_t max_bytes) {
  if (text.empty()) {
    return UnreadableValue("missing");
  }
  if (text.size() > max_bytes) {
    return UnreadableValue(fmt::format("longer than {} bytes", max_bytes));
  }
  const Result<std::string> compact =
      DecodeJson<std::string>(text, [](const nlohmann::json& value) {
        return value.dump(-1, ' ', false,
                          nlohmann::json::error_handler_t::replace);
      });
  return compact.ok() ? compact.value()
                      : UnreadableValue(compact.error().message);
}

}  // namespace gcw::platform
