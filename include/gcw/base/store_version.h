#ifndef GCW_BASE_STORE_VERSION_H_
#define GCW_BASE_STORE_VERSION_H_

#include <cstdint>

namespace gcw {

// The version of a change in the platform's store: the store's epoch in the
// upper bits and its revision in the lower bits. 0 means "no version".
//
// The store numbers its changes with one counter, the revision. If the store is
// restored from an older copy of its data, it loses the latest changes and
// gives their revisions out again, so revisions alone do not tell which of two
// changes is the later one. The epoch rises with each restore. Versions
// therefore compare in the order in which the changes were made.
using StoreVersion = std::uint64_t;

// How often the store has been restored.
using StoreEpoch = std::uint64_t;

inline constexpr int kRevisionBits = 40;
inline constexpr std::uint64_t kMaxRevision =
    (std::uint64_t{1} << kRevisionBits) - 1;
inline constexpr StoreEpoch kMaxStoreEpoch =
    (std::uint64_t{1} << (64 - kRevisionBits)) - 1;

// Preconditions: epoch <= kMaxStoreEpoch and revision <= kMaxRevision.
// Thread-safe, like the other functions.
constexpr StoreVersion MakeStoreVersion(StoreEpoch epoch,
                                        std::uint64_t revision) {
  return epoch << kRevisionBits | revision;
}

// The two parts of a version.
constexpr StoreEpoch EpochOf(StoreVersion version) {
  return version >> kRevisionBits;
}
constexpr std::uint64_t RevisionOf(StoreVersion version) {
  return version & kMaxRevision;
}

}  // namespace gcw

#endif  // GCW_BASE_STORE_VERSION_H_
