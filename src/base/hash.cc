#include "gcw/base/hash.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace gcw {

std::uint64_t StableHash(std::span<const std::uint8_t> bytes,
                         std::uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t StableHash(std::string_view text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

}  // namespace gcw
