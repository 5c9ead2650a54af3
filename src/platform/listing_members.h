#ifndef GCW_SRC_PLATFORM_LISTING_MEMBERS_H_
#define GCW_SRC_PLATFORM_LISTING_MEMBERS_H_

#include <string_view>
#include <vector>

#include "gcw/platform/json_text.h"

namespace gcw::platform {

// Adds the members of a listing before its member `array` to `members`. `text`
// is the listing up to the array. Returns false if it is malformed.
// Thread-safe.
bool ReadMembersBeforeArray(std::string_view text,
                            std::string_view array,
                            std::vector<JsonMember>& members);

// Adds the members of a listing after its array to `members`. `text` is all
// that follows the array. Returns false if the listing does not end there.
// Thread-safe.
bool ReadMembersAfterArray(std::string_view text,
                           std::vector<JsonMember>& members);

}  // namespace gcw::platform

#endif  // GCW_SRC_PLATFORM_LISTING_MEMBERS_H_
