#ifndef GCW_PLATFORM_LISTING_DECODER_H_
#define GCW_PLATFORM_LISTING_DECODER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

#include "gcw/platform/answer_decoder.h"

namespace gcw::platform {

// The most that one answer may have. Beyond, the decoder of a list fails with
// kPlatformBadAnswer, and that of a watch with kPlatformCompacted: the events
// of a watch are not divided into pages, but a list is.
inline constexpr std::size_t kMaxPageBytes = 8 * 1'048'576;     // Decoded.
inline constexpr std::size_t kMaxEventsBytes = 32 * 1'048'576;  // Decoded.
inline constexpr std::size_t kMaxEntries = 32'768;
// Entries whose key or version cannot be decoded.
inline constexpr std::size_t kMaxSkippedEntries = 4096;

// The names of the members of an answer that is a listing. All point to
// constants.
struct ListingNames {
  std::string_view array;     // Has the objects or events.
  std::string_view revision;  // Has the revision of the store.
  // Is true if another page follows. Empty: all objects are in one page.
  std::string_view more_pages;
};

// Reads the text of one entry, which need not be valid JSON. An entry that is
// too long has lost its last members. Fails with kPlatformBadAnswer if the key
// or version cannot be decoded; the entry is then left out and counted.
using ReadObjectText = std::function<Result<Object>(std::string_view text)>;
using ReadEventText = std::function<Result<WatchEvent>(std::string_view text)>;

// Return decoders for answers that are listings, see JsonListingReader. They
// hold the text of one entry at a time. Thread-safe.
std::unique_ptr<ListDecoder> MakeListDecoder(const ListingNames& names,
                                             ReadObjectText read_object);
std::unique_ptr<WatchDecoder> MakeWatchDecoder(const ListingNames& names,
                                               ReadEventText read_event);

}  // namespace gcw::platform

#endif  // GCW_PLATFORM_LISTING_DECODER_H_
