#include "gcw/base/compression.h"

#include <zlib.h>

#include <boost/endian/conversion.hpp>

namespace gcw {
namespace {

constexpr std::size_t kLengthBytes = 4;

}  // namespace

std::vector<std::uint8_t> Compress(std::span<const std::uint8_t> bytes) {
  uLongf size = compressBound(bytes.size());
  std::vector<std::uint8_t> compressed(kLengthBytes + size);
  boost::endian::store_big_u32(compressed.data(),
                               static_cast<std::uint32_t>(bytes.size()));
  compress2(compressed.data() + kLengthBytes, &size, bytes.data(), bytes.size(),
            Z_BEST_SPEED);
  compressed.resize(kLengthBytes + size);
  return compressed;
}

Result<std::vector<std::uint8_t>> Decompress(
    std::span<const std::uint8_t> bytes,
    std::size_t max_bytes) {
  const Error malformed{ResultCode::kMalformedMessage, "",
                        "not valid compressed data, or too large"};
  if (bytes.size() < kLengthBytes) {
    return malformed;
  }
  uLongf size = boost::endian::load_big_u32(bytes.data());
  if (size > max_bytes) {
    return malformed;
  }
  std::vector<std::uint8_t> decompressed(size);
  const auto compressed = bytes.subspan(kLengthBytes);
  if (uncompress(decompressed.data(), &size, compressed.data(),
                 compressed.size()) != Z_OK ||
      size != decompressed.size()) {
    return malformed;
  }
  return decompressed;
}

}  // namespace gcw
