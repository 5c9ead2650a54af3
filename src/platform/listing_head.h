#ifndef GCW_SRC_PLATFORM_LISTING_HEAD_H_
#define GCW_SRC_PLATFORM_LISTING_HEAD_H_

#include <string>
#include <string_view>

#include "src/platform/bracket_scanner.h"

namespace gcw::platform {

// Finds the array of a listing, byte by byte: the value of a member of the
// outermost object. Not thread-safe.
class ListingHead {
 public:
  enum class Step {
    kBefore,   // The array has not begun.
    kAtArray,  // The byte is the opening bracket of the array.
    kInvalid,  // The text is no listing.
  };

  // Looks for the member `array`.
  explicit ListingHead(std::string_view array) : array_(array) {}

  // Takes the next byte. Precondition: all steps so far were kBefore.
  Step Feed(char c);

  // The text before the array.
  std::string_view text() const { return text_; }

 private:
  enum class State {
    kObject,  // The opening bracket of the object comes next.
    kName,    // The opening quote of a member's name comes next.
    kInName,
    kColon,
    kInValue,
    kArray,  // The opening bracket of the array comes next.
  };

  Step FeedInName(char c);
  Step FeedInValue(char c);
  // Continues in `next` after the byte `expected`.
  Step Expect(char c, char expected, State next);

  std::string array_;
  std::string text_;
  std::string name_;
  bool escaped_ = false;  // Whether the last byte of the name was a backslash.
  State state_ = State::kObject;
  BracketScanner value_;
};

}  // namespace gcw::platform

#endif  // GCW_SRC_PLATFORM_LISTING_HEAD_H_
