#ifndef GCW_SRC_PLATFORM_BRACKET_SCANNER_H_
#define GCW_SRC_PLATFORM_BRACKET_SCANNER_H_

#include <cstddef>
#include <string>

namespace gcw::platform {

// Finds the end of one JSON value, byte by byte, by its brackets and quotes.
// What is between them need not be valid. Not thread-safe.
class BracketScanner {
 public:
  enum class Step {
    kInside,   // The byte belongs to the value.
    kEnded,    // The byte is the comma or closing bracket after the value.
    kDamaged,  // Quotes or brackets do not match, or there is no value.
  };

  // The deepest nesting: every value that fits an entry has fewer levels.
  static constexpr std::size_t kMaxLevels = 1'200'000;

  // Starts with a new value.
  void Reset();

  // Takes the next byte. Precondition: all steps so far were kInside.
  Step Feed(char c);

  // Whether the next byte belongs to a text and is not escaped. Then all bytes
  // up to the next quote or backslash do, and need not be fed.
  bool in_text() const { return mode_ == Mode::kText; }
  // The number of open brackets.
  std::size_t levels() const { return open_.size(); }

 private:
  enum class Mode { kPlain, kText, kEscape };

  Step FeedPlain(char c);

  std::string open_;  // The closing brackets to come.
  Mode mode_ = Mode::kPlain;
  bool started_ = false;
  bool after_text_ = false;  // A text has ended; only spaces have followed.
};

}  // namespace gcw::platform

#endif  // GCW_SRC_PLATFORM_BRACKET_SCANNER_H_
