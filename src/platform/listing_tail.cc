#include "src/platform/listing_tail.h"

#include "gcw/platform/json_listing_reader.h"
#include "src/platform/listing_members.h"

namespace gcw::platform {

void ListingTail::Close() {
  open_ = false;
  text_.clear();
}

void ListingTail::OnArrayEnd() {
  Open(true);
}

void ListingTail::Open(bool certain) {
  open_ = true;
  certain_ = certain;
  text_.clear();
}

void ListingTail::Feed(char c) {
  if (c == ']' && !(open_ && certain_)) {
    Open(false);
    return;
  }
  if (!open_) {
    return;
  }
  text_.push_back(c);
  if (text_.size() > JsonListingReader::kMaxOtherBytes) {
    DropToLastEnd();
  }
}

void ListingTail::DropToLastEnd() {
  const std::size_t end = certain_ ? text_.rfind(']') : std::string::npos;
  if (end == std::string::npos) {
    Close();
    return;
  }
  text_.erase(0, end + 1);
  certain_ = false;
}

bool ListingTail::ReadMembers(std::vector<JsonMember>& members) const {
  std::vector<JsonMember> after;
  bool read = open_ && ReadMembersAfterArray(text_, after);
  const std::size_t end = text_.rfind(']');
  if (!read && open_ && end != std::string::npos) {
    after.clear();
    read =
        ReadMembersAfterArray(std::string_view(text_).substr(end + 1), after);
  }
  members.insert(members.end(), after.begin(), after.end());
  return read;
}

}  // namespace gcw::platform
