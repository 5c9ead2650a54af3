#ifndef GCW_BASE_COMPRESSION_H_
#define GCW_BASE_COMPRESSION_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "gcw/base/result.h"

namespace gcw {

// Compresses `bytes` into the zlib format at the fastest level. The result
// starts with the length of `bytes`, four bytes in big-endian order.
// Precondition: `bytes` is smaller than 4 GiB. Thread-safe.
std::vector<std::uint8_t> Compress(std::span<const std::uint8_t> bytes);

// Restores the bytes that were given to Compress. Fails with kMalformedMessage
// if `bytes` is not a result of Compress, or if the original was larger than
// `max_bytes`; the size is checked before memory is allocated. Thread-safe.
Result<std::vector<std::uint8_t>> Decompress(
    std::span<const std::uint8_t> bytes,
    std::size_t max_bytes);

}  // namespace gcw

#endif  // GCW_BASE_COMPRESSION_H_
