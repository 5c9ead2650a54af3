#include "src/control/frame_reader.h"

namespace gcw::control {
namespace {

std::size_t ReadLengthPrefix(std::span<const std::uint8_t> bytes) {
  std::size_t length = 0;
  for (std::size_t i = 0; i < kLengthPrefixBytes; ++i) {
    length = (length << 8) | bytes[i];
  }
  return length;
}

}  // namespace

void AppendLengthPrefix(std::uint32_t size, std::vector<std::uint8_t>& out) {
  for (int shift = 24; shift >= 0; shift -= 8) {
    out.push_back(static_cast<std::uint8_t>(size >> shift));
  }
}

bool FrameReader::Feed(std::span<const std::uint8_t> bytes,
                       const Handler& handler) {
  buffer_.insert(buffer_.end(), bytes.begin(), bytes.end());
  std::size_t begin = 0;
  while (buffer_.size() - begin >= kLengthPrefixBytes) {
    const auto rest = std::span<const std::uint8_t>(buffer_).subspan(begin);
    const std::size_t length = ReadLengthPrefix(rest);
    if (length == 0 || length > max_message_bytes_) {
      return false;
    }
    if (rest.size() < kLengthPrefixBytes + length) {
      break;
    }
    if (!handler(rest.subspan(kLengthPrefixBytes, length))) {
      return false;
    }
    begin += kLengthPrefixBytes + length;
  }
  buffer_.erase(buffer_.begin(),
                buffer_.begin() + static_cast<std::ptrdiff_t>(begin));
  return true;
}

}  // namespace gcw::control
