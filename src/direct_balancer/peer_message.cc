#include "src/direct_balancer/peer_message.h"

#include <algorithm>
#include <boost/endian/conversion.hpp>
#include <utility>

#include "gcw/base/compression.h"

namespace gcw::direct_balancer {
namespace {

// The first byte is the message type: the number of the feed for a
// StateMessage, or this value for WatchUnavailable.
constexpr std::uint8_t kWatchUnavailable = 3;
static_assert(kWatchUnavailable == direct::kFeedCount);
// Flag in the first byte: the bytes that follow are compressed.
constexpr std::uint8_t kCompressed = 0x80;
// Smaller messages are sent uncompressed, since compressing them saves too few
// bytes for its CPU time.
constexpr std::size_t kMinCompressedBytes = 1024;
// Limit of a decompressed message.
constexpr std::size_t kMaxMessageBytes = 2 << 20;
// StateMessage::age follows the first byte: milliseconds, big-endian.
constexpr std::size_t kAgeBytes = 4;
// Stands for an age of InfiniteDuration.
constexpr std::uint32_t kInfiniteAge = 0xffffffff;

std::uint32_t EncodeAge(absl::Duration age) {
  const std::int64_t ms = absl::ToInt64Milliseconds(age);
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(ms, 0, kInfiniteAge));
}

absl::Duration DecodeAge(std::uint32_t ms) {
  return ms == kInfiniteAge ? absl::InfiniteDuration() : absl::Milliseconds(ms);
}

Error Malformed(const char* message) {
  return {ResultCode::kMalformedMessage, "", message};
}

Result<PeerMessage> DecodeState(direct::Feed feed,
                                std::span<const std::uint8_t> bytes) {
  if (bytes.size() < kAgeBytes) {
    return Malformed("the age is cut off");
  }
  auto message = relay::Decode(bytes.subspan(kAgeBytes));
  if (!message.ok()) {
    return message.error();
  }
  return PeerMessage(
      StateMessage{feed, DecodeAge(boost::endian::load_big_u32(bytes.data())),
                   std::move(message).value()});
}

}  // namespace

std::vector<std::uint8_t> EncodePeerMessage(const PeerMessage& message) {
  const auto* state = std::get_if<StateMessage>(&message);
  if (state == nullptr) {
    return {kWatchUnavailable};
  }
  std::vector<std::uint8_t> bytes(kAgeBytes);
  boost::endian::store_big_u32(bytes.data(), EncodeAge(state->age));
  const std::vector<std::uint8_t> relayed = relay::Encode(state->message);
  bytes.insert(bytes.end(), relayed.begin(), relayed.end());
  auto type = static_cast<std::uint8_t>(state->feed);
  if (bytes.size() >= kMinCompressedBytes) {
    type |= kCompressed;
    bytes = Compress(bytes);
  }
  bytes.insert(bytes.begin(), type);
  return bytes;
}

Result<PeerMessage> DecodePeerMessage(std::span<const std::uint8_t> bytes) {
  if (bytes.empty()) {
    return Malformed("empty");
  }
  const auto type = static_cast<std::uint8_t>(bytes[0] & ~kCompressed);
  if (type == kWatchUnavailable) {
    return PeerMessage(WatchUnavailable{});
  }
  if (type > kWatchUnavailable) {
    return Malformed("unknown message type");
  }
  const auto feed = static_cast<direct::Feed>(type);
  if ((bytes[0] & kCompressed) == 0) {
    return DecodeState(feed, bytes.subspan(1));
  }
  const auto plain = Decompress(bytes.subspan(1), kMaxMessageBytes);
  if (!plain.ok()) {
    return plain.error();
  }
  return DecodeState(feed, plain.value());
}

}  // namespace gcw::direct_balancer
