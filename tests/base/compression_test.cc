#include "gcw/base/compression.h"

#include <catch2/catch.hpp>
#include <random>

namespace gcw {
namespace {

TEST_CASE("decompression restores the original bytes") {
  for (const std::size_t size : {0U, 1U, 1000U, 100'000U}) {
    const std::vector<std::uint8_t> bytes(size, 7);
    const auto decompressed = Decompress(Compress(bytes), size);
    REQUIRE(decompressed.ok());
    CHECK(decompressed.value() == bytes);
  }
}

TEST_CASE("oversized and malformed data is rejected") {
  const std::vector<std::uint8_t> bytes(1000, 7);
  std::vector<std::uint8_t> compressed = Compress(bytes);
  CHECK_FALSE(Decompress(compressed, 999).ok());
  for (std::size_t size = 0; size < compressed.size(); ++size) {
    CHECK_FALSE(Decompress(std::span(compressed).first(size), 5000).ok());
  }
  // Random bytes must not crash the decoder; their result does not matter.
  std::mt19937 random(3);
  for (int i = 0; i < 2000; ++i) {
    std::vector<std::uint8_t> noise(random() % 64);
    for (std::uint8_t& byte : noise) {
      byte = static_cast<std::uint8_t>(random());
    }
    (void)Decompress(noise, 1 << 16);
  }
}

}  // namespace
}  // namespace gcw
