#include "src/platform/entry_start_matcher.h"

#include <algorithm>

namespace gcw::platform {
namespace {

// The longest text to search for. Names of fields are short.
constexpr std::size_t kMaxStartBytes = 96;

bool IsSpace(char c) {
  return c == ' ' || c == '\t' || c == '\r' || c == '\n';
}

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '_' || c == '-';
}

// Moves `text` past `c` and the spaces before it, if it comes next.
bool Skip(std::string_view& text, char c) {
  const auto* const at = std::find_if_not(text.begin(), text.end(), IsSpace);
  if (at == text.end() || *at != c) {
    return false;
  }
  text.remove_prefix(static_cast<std::size_t>(at - text.begin()) + 1);
  return true;
}

// Whether `text` is an opening bracket, a plain name and a colon. No part of
// such a text but its first byte is the beginning of another one.
bool IsEntryStart(std::string_view text) {
  if (text.size() > kMaxStartBytes || !text.starts_with('{') ||
      !Skip(text, '{') || !Skip(text, '"')) {
    return false;
  }
  const std::size_t name_end = std::min(text.find('"'), text.size());
  const std::string_view name = text.substr(0, name_end);
  text.remove_prefix(name_end);
  return std::all_of(name.begin(), name.end(), IsNameCharacter) &&
         Skip(text, '"') && Skip(text, ':') && text.empty();
}

}  // namespace

void EntryStartMatcher::Learn(std::string_view text) {
  if (IsEntryStart(text)) {
    start_ = text;
  }
}

void EntryStartMatcher::Reset() {
  matched_ = 0;
  spaces_ = kNoComma;
}

bool EntryStartMatcher::Feed(char c) {
  if (matched_ > 0 && c == start_[matched_]) {
    ++matched_;
    if (matched_ < start_.size()) {
      return false;
    }
    Reset();
    return true;
  }
  matched_ = 0;
  if (c == ',') {
    spaces_ = 0;
  } else if (IsSpace(c)) {
    spaces_ = std::min(spaces_ + 1, kNoComma);
  } else {
    matched_ = c == '{' && spaces_ < kNoComma && has_learned() ? 1 : 0;
    spaces_ = kNoComma;
  }
  return false;
}

void EntryStartMatcher::FeedWithoutQuotes(std::string_view bytes) {
  // Earlier bytes have no effect on what the next ones are part of.
  constexpr std::size_t kMemoryBytes = kMaxStartBytes + kNoComma + 1;
  if (bytes.size() > kMemoryBytes) {
    bytes.remove_prefix(bytes.size() - kMemoryBytes);
    Reset();
  }
  for (const char c : bytes) {
    (void)Feed(c);
  }
}

}  // namespace gcw::platform
