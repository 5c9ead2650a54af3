#ifndef GCW_BASE_HASH_H_
#define GCW_BASE_HASH_H_

#include <cstdint>
#include <span>
#include <string_view>

namespace gcw {

// Hashes whose values are the same in every process and release, so that the
// daemons compute equal routing tables without communication. Thread-safe.
std::uint64_t StableHash(std::span<const std::uint8_t> bytes,
                         std::uint64_t seed = 0);
std::uint64_t StableHash(std::string_view text, std::uint64_t seed = 0);

// Combines two hashes into one. Depends on the order of `a` and `b`.
// Thread-safe.
constexpr std::uint64_t MixHash(std::uint64_t a, std::uint64_t b) {
  std::uint64_t x = a ^ (b + 0x9e3779b97f4a7c15ULL + (a << 6) + (a >> 2));
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

}  // namespace gcw

#endif  // GCW_BASE_HASH_H_
