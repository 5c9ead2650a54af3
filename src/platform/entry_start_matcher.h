#ifndef GCW_SRC_PLATFORM_ENTRY_START_MATCHER_H_
#define GCW_SRC_PLATFORM_ENTRY_START_MATCHER_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace gcw::platform {

// Finds the places where an entry of a listing may begin: after a comma, with
// the same field as the first entry, for example `{"meta":`. Not thread-safe.
class EntryStartMatcher {
 public:
  // Takes `text`, the beginning of an entry up to its first colon, as the text
  // to search for. Does nothing if it is not that of an object.
  void Learn(std::string_view text);
  bool has_learned() const { return !start_.empty(); }
  // The number of bytes of the text to search for.
  std::size_t start_bytes() const { return start_.size(); }

  // Forgets the bytes before the next one.
  void Reset();
  // Takes the next byte. Returns whether it is the last one of the text.
  bool Feed(char c);
  // Takes bytes without quotes, in which the text cannot end.
  void FeedWithoutQuotes(std::string_view bytes);

 private:
  // Stands for more spaces than may follow the comma.
  static constexpr std::size_t kNoComma = 17;

  std::string start_;
  std::size_t matched_ = 0;        // Bytes of `start_`.
  std::size_t spaces_ = kNoComma;  // Since the last comma.
};

}  // namespace gcw::platform

#endif  // GCW_SRC_PLATFORM_ENTRY_START_MATCHER_H_
