#include "gcw/platform/json_text.h"

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "gcw/platform/decode_json.h"

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
  while (true) {
    at = text.find_first_of("\"\\", at);
    if (at == std::string_view::npos) {
      return at;
    }
    if (text[at] == '"') {
      return at + 1;
    }
    at += 2;  // A backslash and the character that it escapes.
  }
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

Error Malformed(const char* message) {
  return {ResultCode::kPlatformBadAnswer, "", message};
}

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

// Reads what follows the array of a listing into `members`. Returns false if
// the listing does not end there.
bool ReadAfterArray(std::string_view text,
                    std::size_t at,
                    std::vector<JsonMember>& members) {
  Scanner scanner(text, at);
  const bool ended = scanner.Skip(',') ? ReadMembers(scanner, "", members) ==
                                             MembersEnd::kObjectEnded
                                       : scanner.Skip('}');
  return ended && scanner.AtEnd();
}

// Splits the elements of an array that starts at a position of a listing.
class EntrySplitter {
 public:
  EntrySplitter(std::string_view text, std::size_t begin)
      : text_(text), begin_(begin) {}

  // Reads the elements into `entries` and returns the position after the array,
  // or nothing if the text is no array.
  std::optional<std::size_t> Split(std::vector<std::string_view>& entries) {
    Scanner scanner(text_, begin_);
    if (!scanner.Skip('[')) {
      return std::nullopt;
    }
    if (scanner.Skip(']')) {
      return scanner.position();
    }
    FindEntryStart(scanner.position());
    std::size_t at = scanner.position();
    while (true) {
      Scanner entry(text_, at);
      const auto value = entry.Value();
      if (value && entry.Skip(',')) {
        entries.push_back(*value);
        at = entry.position();
        continue;
      }
      if (value && entry.Skip(']') && ListingEndsAfter(entry.position())) {
        entries.push_back(*value);
        return entry.position();
      }
      // The entry is damaged. It ends before the next one, or with the array.
      const std::size_t next = NextEntry(at);
      if (next == std::string_view::npos) {
        return EndWithDamagedEntry(at, entries);
      }
      entries.push_back(text_.substr(at, next - at));
      at = next;
    }
  }

 private:
  // A closing bracket of a damaged entry is not the end of the array.
  bool ListingEndsAfter(std::size_t at) const {
    std::vector<JsonMember> members;
    return ReadAfterArray(text_, at, members);
  }

  // Finds the text with which each entry starts: up to its first colon.
  void FindEntryStart(std::size_t at) {
    const std::size_t colon = text_.find(':', at);
    if (colon != std::string_view::npos) {
      entry_start_ = text_.substr(at, colon + 1 - at);
    }
  }

  // The start of the next entry after the one at `at`, or npos.
  std::size_t NextEntry(std::size_t at) const {
    if (entry_start_.empty()) {
      return std::string_view::npos;
    }
    std::size_t next = text_.find(entry_start_, at + 1);
    while (next != std::string_view::npos) {
      const std::size_t before = text_.find_last_not_of(kSpace, next - 1);
      if (before != std::string_view::npos && before > at &&
          text_[before] == ',') {
        return next;
      }
      next = text_.find(entry_start_, next + 1);
    }
    return next;
  }

  // The last entry is damaged: the array ends at the last closing bracket.
  std::optional<std::size_t> EndWithDamagedEntry(
      std::size_t at,
      std::vector<std::string_view>& entries) const {
    const std::size_t end = text_.rfind(']');
    if (end == std::string_view::npos || end < at) {
      return std::nullopt;
    }
    entries.push_back(text_.substr(at, end - at));
    return end + 1;
  }

  std::string_view text_;
  std::size_t begin_;
  std::string_view entry_start_;
};

std::string Unreadable(std::string_view reason) {
  return nlohmann::json(fmt::format("unreadable value: {}", reason))
      .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

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

Result<JsonListing> SplitJsonListing(std::string_view text,
                                     std::string_view array) {
  JsonListing listing;
  Scanner scanner(text);
  if (!scanner.Skip('{') ||
      ReadMembers(scanner, array, listing.members) != MembersEnd::kAtArray) {
    return Malformed("not an object with the array of a listing");
  }
  const auto end =
      EntrySplitter(text, scanner.position()).Split(listing.entries);
  if (!end) {
    return Malformed("the listing is not an array");
  }
  if (!ReadAfterArray(text, *end, listing.members)) {
    return Malformed("the listing is followed by malformed text");
  }
  return listing;
}

std::string CompactJson(std::string_view text, std::size_t max_bytes) {
  if (text.empty()) {
    return Unreadable("missing");
  }
  if (text.size() > max_bytes) {
    return Unreadable(fmt::format("longer than {} bytes", max_bytes));
  }
  const Result<std::string> compact =
      DecodeJson<std::string>(text, [](const nlohmann::json& value) {
        return value.dump(-1, ' ', false,
                          nlohmann::json::error_handler_t::replace);
      });
  return compact.ok() ? compact.value() : Unreadable(compact.error().message);
}

}  // namespace gcw::platform
