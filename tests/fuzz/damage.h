#ifndef GCW_TESTS_FUZZ_DAMAGE_H_
#define GCW_TESTS_FUZZ_DAMAGE_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace gcw::fuzz {

// Changes bytes of a good message as `edits` says, three bytes each: position
// and value. So a target starts from what decodes and needs no corpus.
inline std::vector<std::uint8_t> Damage(std::vector<std::uint8_t> good,
                                        std::span<const std::uint8_t> edits) {
  for (; edits.size() >= 3 && !good.empty(); edits = edits.subspan(3)) {
    const std::size_t position = edits[0] * 256U + edits[1];
    good[position % good.size()] = edits[2];
  }
  return good;
}

}  // namespace gcw::fuzz

#endif  // GCW_TESTS_FUZZ_DAMAGE_H_
