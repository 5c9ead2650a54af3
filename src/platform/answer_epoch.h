#ifndef GCW_SRC_PLATFORM_ANSWER_EPOCH_H_
#define GCW_SRC_PLATFORM_ANSWER_EPOCH_H_

#include <string_view>

#include "gcw/base/result.h"
#include "gcw/platform/platform_client.h"

namespace gcw::platform {

// Parses the platform's epoch, a decimal number of at most kMaxStoreEpoch.
// Fails with kPlatformBadAnswer. Thread-safe.
Result<StoreEpoch> ParseEpoch(std::string_view text);

// Each of the following takes a decoded answer, in which versions are revisions
// without an epoch, and adds `epoch` to all of them. Fails with
// kPlatformBadAnswer if a revision is larger than kMaxRevision. Thread-safe.
Result<Version> WithEpoch(StoreEpoch epoch, Version revision);
Result<Object> WithEpoch(StoreEpoch epoch, Object object);
Result<Listing> WithEpoch(StoreEpoch epoch, Listing listing);
Result<WatchAnswer> WithEpoch(StoreEpoch epoch, WatchAnswer answer);

}  // namespace gcw::platform

#endif  // GCW_SRC_PLATFORM_ANSWER_EPOCH_H_
