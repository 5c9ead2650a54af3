#ifndef GCW_SRC_CONTROL_FRAME_READER_H_
#define GCW_SRC_CONTROL_FRAME_READER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <vector>

namespace gcw::control {

// The size of the big-endian length that precedes each message on a stream.
inline constexpr std::size_t kLengthPrefixBytes = 4;

// Appends the length prefix of a message of `size` bytes to `out`.
void AppendLengthPrefix(std::uint32_t size, std::vector<std::uint8_t>& out);

// Splits a stream of bytes into length-prefixed messages. Not thread-safe.
class FrameReader {
 public:
  // Receives one complete message; returns false to stop the reader.
  using Handler = std::function<bool(std::span<const std::uint8_t>)>;

  explicit FrameReader(std::size_t max_message_bytes)
      : max_message_bytes_(max_message_bytes) {}

  // Adds `bytes` and calls `handler` for each message that is complete. Returns
  // false if a length is zero or above `max_message_bytes`, or if the handler
  // returned false. The reader must not be used after that.
  bool Feed(std::span<const std::uint8_t> bytes, const Handler& handler);

  // The bytes that wait for the rest of their message.
  std::size_t waiting_bytes() const { return buffer_.size(); }

 private:
  std::size_t max_message_bytes_;
  std::vector<std::uint8_t> buffer_;
};

}  // namespace gcw::control

#endif  // GCW_SRC_CONTROL_FRAME_READER_H_
