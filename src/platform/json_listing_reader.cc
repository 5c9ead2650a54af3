#include "gcw/platform/json_listing_reader.h"

#include <algorithm>
#include <optional>
#include <string>

#include "src/platform/bracket_scanner.h"
#include "src/platform/entry_start_matcher.h"
#include "src/platform/listing_head.h"
#include "src/platform/listing_members.h"
#include "src/platform/listing_tail.h"

namespace gcw::platform {
namespace {

// The text is taken in parts of at most this length.
constexpr std::size_t kPartBytes = 16'384;
// An entry that does not end is read again from where the next one begins. Past
// this limit, plus one byte for each byte of the text, an entry ends where the
// next one may begin.
constexpr std::size_t kMaxRereadBytes = 8 * 1'048'576;
// The most text from the beginning of one entry to that of the next one. What
// is longer is no listing, since its values are bounded.
constexpr std::size_t kMaxEntryDistanceBytes = 4 * 1'048'576;

bool IsSpace(char c) {
  return c == ' ' || c == '\t' || c == '\r' || c == '\n';
}

Error Malformed(const char* message) {
  return {ResultCode::kPlatformBadAnswer, "", message};
}

}  // namespace

class JsonListingReader::Impl {
 public:
  Impl(std::string_view array, Listener& listener)
      : listener_(listener), array_(array), head_(array) {}

  Status OnBytes(std::string_view bytes) {
    while (!bytes.empty() && !invalid_) {
      const std::string_view part = bytes.substr(0, kPartBytes);
      bytes.remove_prefix(part.size());
      held_.append(part);
      Run();
      DropRead();
      invalid_ = invalid_ || dropped_bytes_ + cursor_ - last_entry_ >
                                 kMaxEntryDistanceBytes;
    }
    return invalid_ ? Status(NoListing()) : OkStatus();
  }

  Result<std::vector<JsonMember>> Finish() {
    // An entry that does not end by itself is damaged.
    while (state_ == State::kEntry) {
      OnDamaged();
      Run();
    }
    std::vector<JsonMember> members;
    if (invalid_ || state_ == State::kHead ||
        !ReadMembersBeforeArray(head_.text(), array_, members)) {
      return NoListing();
    }
    if (state_ != State::kAfter || !tail_.is_open()) {
      return Malformed("the array of the listing does not end");
    }
    if (!tail_.ReadMembers(members)) {
      return Malformed("the listing is followed by malformed text");
    }
    if (!delivered_) {
      listener_.OnEntry(Held(begin_, last_closing_));
    }
    return members;
  }

 private:
  enum class State {
    kHead,   // Before the array.
    kFirst,  // The first entry or the end of the array comes next.
    kNext,   // An entry comes next.
    kEntry,  // In an entry.
    kAfter,  // In a damaged entry or after the array.
  };

  static Error NoListing() {
    return Malformed("not an object with the array of a listing");
  }

  std::string_view Held(std::size_t begin, std::size_t end) const {
    return std::string_view(held_).substr(begin, end - begin);
  }

  void Run() {
    while (cursor_ < held_.size() && !invalid_) {
      Step();
    }
  }

  void Step() {
    switch (state_) {
      case State::kHead:
        ReadHead(held_[cursor_++]);
        break;
      case State::kFirst:
      case State::kNext:
        ReadBetween(held_[cursor_]);
        break;
      case State::kEntry:
        ReadEntry();
        break;
      case State::kAfter:
        ReadAfter(held_[cursor_]);
        break;
    }
  }

  void ReadHead(char c) {
    const ListingHead::Step step = head_.Feed(c);
    invalid_ = step == ListingHead::Step::kInvalid;
    if (step == ListingHead::Step::kAtArray) {
      state_ = State::kFirst;
    }
  }

  void ReadBetween(char c) {
    if (IsSpace(c)) {
      ++cursor_;
    } else if (state_ == State::kFirst && c == ']') {
      delivered_ = true;
      OnArrayEnd();
    } else {
      BeginEntry(cursor_);
    }
  }

  void BeginEntry(std::size_t begin) {
    state_ = State::kEntry;
    last_entry_ = dropped_bytes_ + begin;
    begin_ = begin;
    cursor_ = begin;
    members_end_ = begin;
    delivered_ = false;
    seen_colon_ = false;
    next_begin_.reset();
    scanner_.Reset();
    matcher_.Reset();
    tail_.Close();
  }

  // Whether the entry at `begin_` has become longer than its limit.
  bool IsTooLong() const {
    return !delivered_ && cursor_ - begin_ >= kMaxEntryBytes;
  }

  void ReadEntry() {
    if (IsTooLong()) {
      OnTooLong();
      return;
    }
    if (scanner_.in_text() && SkipText()) {
      return;
    }
    const char c = held_[cursor_];
    switch (scanner_.Feed(c)) {
      case BracketScanner::Step::kDamaged:
        OnDamaged();
        break;
      case BracketScanner::Step::kEnded:
        OnEntryEnd(c);
        break;
      case BracketScanner::Step::kInside:
        OnEntryByte(c);
        break;
    }
  }

  // Moves to the next quote or backslash of a text. Returns whether the cursor
  // has moved.
  bool SkipText() {
    const std::size_t limit =
        delivered_ ? held_.size()
                   : std::min(held_.size(), begin_ + kMaxEntryBytes);
    const std::string_view rest = Held(cursor_, limit);
    const auto* const end = std::find_if(
        rest.begin(), rest.end(), [](char c) { return c == '"' || c == '\\'; });
    const std::string_view skipped(rest.begin(), end);
    matcher_.FeedWithoutQuotes(skipped);
    if (delivered_) {
      for (const char c : skipped) {
        tail_.Feed(c);
      }
    }
    cursor_ += skipped.size();
    return !skipped.empty();
  }

  void OnEntryByte(char c) {
    if (delivered_) {
      tail_.Feed(c);
    }
    if (c == ',' && scanner_.levels() == 1 && !scanner_.in_text()) {
      members_end_ = cursor_;
    }
    ++cursor_;
    if (c == ':' && !seen_colon_) {
      LearnEntryStart();
    }
    if (matcher_.Feed(c)) {
      OnEntryStartInEntry(cursor_ - matcher_.start_bytes());
    }
  }

  void LearnEntryStart() {
    seen_colon_ = true;
    if (!matcher_.has_learned()) {
      matcher_.Learn(Held(begin_, cursor_));
    }
  }

  // The text with which an entry starts is within the value of this entry, or
  // this entry is damaged: the end of this entry shows it.
  void OnEntryStartInEntry(std::size_t at) {
    if (delivered_ || reread_limit_passed_) {
      EndDamagedEntry(at);
    } else if (!next_begin_) {
      next_begin_ = at;
    }
  }

  // `c` is a comma or a closing bracket.
  void OnEntryEnd(char c) {
    Deliver(cursor_);
    if (c == ']') {
      OnArrayEnd();
      return;
    }
    state_ = c == ',' ? State::kNext : State::kAfter;
    matcher_.Reset();
    ++cursor_;
  }

  void Deliver(std::size_t end) {
    if (!delivered_) {
      listener_.OnEntry(Held(begin_, end));
    }
    delivered_ = true;
  }

  void OnArrayEnd() {
    state_ = State::kAfter;
    matcher_.Reset();
    tail_.OnArrayEnd();
    ++cursor_;
  }

  void OnDamaged() {
    if (next_begin_ && !delivered_) {
      EndDamagedEntry(*next_begin_);
      return;
    }
    state_ = State::kAfter;
    if (!delivered_) {
      // Looks for the next entry, or for the end of the array, in this one.
      cursor_ = begin_;
      matcher_.Reset();
    }
  }

  void OnTooLong() {
    if (next_begin_) {
      EndDamagedEntry(*next_begin_);
      return;
    }
    const std::string_view beginning = Held(begin_, members_end_);
    listener_.OnLongEntry(beginning.size() <= kMaxOtherBytes ? beginning : "");
    delivered_ = true;
  }

  void EndDamagedEntry(std::size_t next) {
    Deliver(next);
    reread_bytes_ += cursor_ - next;
    reread_limit_passed_ =
        reread_bytes_ > kMaxRereadBytes + dropped_bytes_ + cursor_;
    BeginEntry(next);
  }

  void ReadAfter(char c) {
    if (IsTooLong()) {
      OnTooLong();
      return;
    }
    tail_.Feed(c);
    if (c == ']' && !delivered_) {
      last_closing_ = cursor_;
    }
    ++cursor_;
    if (!matcher_.Feed(c)) {
      return;
    }
    const std::size_t next = cursor_ - matcher_.start_bytes();
    if (delivered_ || next > begin_) {
      EndDamagedEntry(next);
    }
  }

  // Drops the text that is not needed any more.
  void DropRead() {
    std::size_t count = cursor_;
    if (state_ == State::kEntry || state_ == State::kAfter) {
      count = delivered_ ? cursor_ - std::min(cursor_, matcher_.start_bytes())
                         : begin_;
    }
    held_.erase(0, count);
    cursor_ -= count;
    begin_ -= std::min(begin_, count);
    members_end_ -= std::min(members_end_, count);
    last_closing_ -= std::min(last_closing_, count);
    if (next_begin_) {
      *next_begin_ -= std::min(*next_begin_, count);
    }
    dropped_bytes_ += count;
  }

  Listener& listener_;
  const std::string array_;
  ListingHead head_;
  ListingTail tail_;
  BracketScanner scanner_;  // Of the current entry.
  EntryStartMatcher matcher_;
  State state_ = State::kHead;
  bool invalid_ = false;

  // The text from the current entry on. Positions are those in this text.
  std::string held_;
  std::size_t cursor_ = 0;  // Of the next byte to read.
  std::size_t begin_ = 0;   // Of the current entry.
  // Where the last member of the current entry that is complete ends.
  std::size_t members_end_ = 0;
  // The last closing bracket that may end a damaged entry and the array.
  std::size_t last_closing_ = 0;
  // The first place in the current entry where another one may begin.
  std::optional<std::size_t> next_begin_;
  // Whether the listener has got the current entry, or its beginning.
  bool delivered_ = false;
  bool seen_colon_ = false;  // In the current entry.

  std::size_t dropped_bytes_ = 0;
  std::size_t last_entry_ = 0;  // Where the last entry begins in all the text.
  std::size_t reread_bytes_ = 0;
  bool reread_limit_passed_ = false;
};

JsonListingReader::JsonListingReader(std::string_view array, Listener& listener)
    : impl_(std::make_unique<Impl>(array, listener)) {}
JsonListingReader::~JsonListingReader() = default;

Status JsonListingReader::OnBytes(std::string_view bytes) {
  return impl_->OnBytes(bytes);
}

Result<std::vector<JsonMember>> JsonListingReader::Finish() {
  return impl_->Finish();
}

}  // namespace gcw::platform
