#include "src/platform/listing_head.h"

#include "gcw/platform/json_listing_reader.h"

namespace gcw::platform {
namespace {

bool IsSpace(char c) {
  return c == ' ' || c == '\t' || c == '\r' || c == '\n';
}

}  // namespace

ListingHead::Step ListingHead::Feed(char c) {
  if (text_.size() == JsonListingReader::kMaxOtherBytes) {
    return Step::kInvalid;
  }
  if (state_ == State::kArray && c == '[') {
    return Step::kAtArray;
  }
  text_.push_back(c);
  if (state_ == State::kInName) {
    return FeedInName(c);
  }
  if (state_ == State::kInValue) {
    return FeedInValue(c);
  }
  if (IsSpace(c)) {
    return Step::kBefore;
  }
  switch (state_) {
    case State::kObject:
      return Expect(c, '{', State::kName);
    case State::kName:
      name_.clear();
      return Expect(c, '"', State::kInName);
    case State::kColon:
      value_.Reset();
      return Expect(c, ':', name_ == array_ ? State::kArray : State::kInValue);
    default:
      return Step::kInvalid;
  }
}

ListingHead::Step ListingHead::FeedInName(char c) {
  if (c == '"' && !escaped_) {
    state_ = State::kColon;
    return Step::kBefore;
  }
  escaped_ = c == '\\' && !escaped_;
  name_.push_back(c);
  return Step::kBefore;
}

ListingHead::Step ListingHead::FeedInValue(char c) {
  switch (value_.Feed(c)) {
    case BracketScanner::Step::kInside:
      return Step::kBefore;
    case BracketScanner::Step::kEnded:
      return Expect(c, ',', State::kName);
    case BracketScanner::Step::kDamaged:
      break;
  }
  return Step::kInvalid;
}

ListingHead::Step ListingHead::Expect(char c, char expected, State next) {
  if (c != expected) {
    return Step::kInvalid;
  }
  state_ = next;
  return Step::kBefore;
}

}  // namespace gcw::platform
