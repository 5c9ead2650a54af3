#ifndef GCW_SRC_CONTROL_FRAME_READER_H_
#define GCW_SRC_CONTROL_FRAME_READER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <vector>

namespace gcw::control {

// The length in front of each message on a stream.
inline constexpr std::size_t kLengthBytes = 4;

// Appends the length of a message of `size` bytes, big-endian.
void AppendLength(std::uint32_t size, std::vector<std::uint8_t>& out);

// Cuts a stream of bytes into messages that have their length in front. Not
// thread-safe.
class FrameReader {
 public:
  // Takes one whole message; false stops the reader.
  using Handler = std::function<bool(std::span<const std::uint8_t>)>;

  explicit FrameReader(std::size_t max_message_bytes)
      : max_message_bytes_(max_message_bytes) {}

  // Calls `handler` for each message that is whole by now. False if a length is
  // zero or above the bound, or the handler said so; the reader is then of no
  // more use.
  bool Feed(std::span<const std::uint8_t> bytes, const Handler& handler);

 private:
  std::size_t max_message_bytes_;
  std::vector<std::uint8_t> buffer_;
};

}  // namespace gcw::control

#endif  // GCW_SRC_CONTROL_FRAME_READER_H_
