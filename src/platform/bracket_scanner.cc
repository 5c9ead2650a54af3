#include "src/platform/bracket_scanner.h"

namespace gcw::platform {
namespace {

bool IsSpace(char c) {
  return c == ' ' || c == '\t' || c == '\r' || c == '\n';
}

bool IsOpening(char c) {
  return c == '{' || c == '[';
}

bool IsClosing(char c) {
  return c == '}' || c == ']';
}

}  // namespace

void BracketScanner::Reset() {
  open_.clear();
  mode_ = Mode::kPlain;
  started_ = false;
  after_text_ = false;
}

BracketScanner::Step BracketScanner::Feed(char c) {
  switch (mode_) {
    case Mode::kEscape:
      mode_ = Mode::kText;
      return Step::kInside;
    case Mode::kText:
      if (c == '\\') {
        mode_ = Mode::kEscape;
      } else if (c == '"') {
        mode_ = Mode::kPlain;
        after_text_ = true;
      }
      return Step::kInside;
    case Mode::kPlain:
      break;
  }
  return IsSpace(c) ? Step::kInside : FeedPlain(c);
}

BracketScanner::Step BracketScanner::FeedPlain(char c) {
  // Anything but a separator after a text shows that a quote is missing.
  if (after_text_ && c != ',' && c != ':' && !IsClosing(c)) {
    return Step::kDamaged;
  }
  after_text_ = false;
  if (open_.empty() && (c == ',' || IsClosing(c))) {
    return started_ ? Step::kEnded : Step::kDamaged;
  }
  started_ = true;
  if (c == '"') {
    mode_ = Mode::kText;
  } else if (IsOpening(c)) {
    if (open_.size() == kMaxLevels) {
      return Step::kDamaged;
    }
    open_.push_back(c == '{' ? '}' : ']');
  } else if (IsClosing(c)) {
    if (open_.back() != c) {
      return Step::kDamaged;
    }
    open_.pop_back();
  }
  return Step::kInside;
}

}  // namespace gcw::platform
