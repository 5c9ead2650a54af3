#ifndef GCW_PLATFORM_JSON_LISTING_READER_H_
#define GCW_PLATFORM_JSON_LISTING_READER_H_

#include <cstddef>
#include <memory>
#include <string_view>
#include <vector>

#include "gcw/base/result.h"
#include "gcw/platform/json_text.h"

namespace gcw::platform {

// Splits the text of a listing while it arrives: a JSON object of which one
// member is an array of objects, the entries. Holds the text of one entry at a
// time. Not thread-safe.
//
// An entry whose brackets or quotes do not match ends where the next entry
// begins with the same field as the first one; it does not affect the other
// entries. The results do not depend on how the text is cut into parts.
class JsonListingReader {
 public:
  // The longest entry: the platform's limit of a value, and its name, versions
  // and other fields.
  static constexpr std::size_t kMaxEntryBytes = 1'048'576 + 65'536;
  // The longest text before and after the array.
  static constexpr std::size_t kMaxOtherBytes = 65'536;

  // Takes the entries. The views are valid during the call.
  class Listener {
   public:
    virtual ~Listener() = default;

    // Takes the text of an entry, which need not be valid JSON.
    virtual void OnEntry(std::string_view text) = 0;
    // Takes the beginning of an entry longer than kMaxEntryBytes, whose rest is
    // discarded: its first members, all complete, or no text.
    virtual void OnLongEntry(std::string_view beginning) = 0;
  };

  // Reads a listing whose entries are in the member `array`. `listener` must
  // outlive this object.
  JsonListingReader(std::string_view array, Listener& listener);
  ~JsonListingReader();
  JsonListingReader(const JsonListingReader&) = delete;
  JsonListingReader& operator=(const JsonListingReader&) = delete;

  // Takes the next bytes of the text. Fails with kPlatformBadAnswer as soon as
  // the text is known not to be a listing, and at each call after that.
  Status OnBytes(std::string_view bytes);

  // Takes the end of the text and returns the members other than the array. The
  // views are valid as long as this object. Fails with kPlatformBadAnswer if
  // there is no such array or if the text around it is not that of an object.
  // Precondition: not called before.
  Result<std::vector<JsonMember>> Finish();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gcw::platform

#endif  // GCW_PLATFORM_JSON_LISTING_READER_H_
