#ifndef GCW_SRC_PLATFORM_LISTING_TAIL_H_
#define GCW_SRC_PLATFORM_LISTING_TAIL_H_

#include <string>
#include <string_view>
#include <vector>

#include "gcw/platform/json_text.h"

namespace gcw::platform {

// Collects the text that may follow the array of a listing. Which closing
// bracket ends the array is known at the end of the text only, if an entry is
// damaged. Not thread-safe.
class ListingTail {
 public:
  // No closing bracket so far may be that of the array.
  void Close();
  // The array ends here, unless the text that follows shows otherwise.
  void OnArrayEnd();
  // Takes the next byte. If no array end is known, or only one in a damaged
  // entry, a closing bracket may be the end.
  void Feed(char c);

  bool is_open() const { return open_; }
  // Adds the members after the array to `members`, with views into this object.
  // Returns false if the listing does not end after the array.
  bool ReadMembers(std::vector<JsonMember>& members) const;

 private:
  void Open(bool certain);
  // Makes the last closing bracket of the text the end, if there is one.
  void DropToLastEnd();

  bool open_ = false;
  bool certain_ = false;  // Whether the array's end is not in a damaged entry.
  std::string text_;
};

}  // namespace gcw::platform

#endif  // GCW_SRC_PLATFORM_LISTING_TAIL_H_
