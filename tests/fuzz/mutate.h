#ifndef GCW_TESTS_FUZZ_MUTATE_H_
#define GCW_TESTS_FUZZ_MUTATE_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace gcw::fuzz {

// Returns `message` with some bytes overwritten. `edits` holds three bytes for
// each change: the position (big-endian, modulo the message's size) and the new
// value. Fuzz targets mutate a valid message this way, so that they need no
// corpus.
inline std::vector<std::uint8_t> Mutate(std::vector<std::uint8_t> message,
                                        std::span<const std::uint8_t> edits) {
  for (; edits.size() >= 3 && !message.empty(); edits = edits.subspan(3)) {
    const std::size_t position = edits[0] * 256U + edits[1];
    message[position % message.size()] = edits[2];
  }
  return message;
}

}  // namespace gcw::fuzz

#endif  // GCW_TESTS_FUZZ_MUTATE_H_
