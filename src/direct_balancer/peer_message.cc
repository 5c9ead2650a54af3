#include "src/direct_balancer/peer_message.h"

#include <algorithm>
#include <boost/endian/conversion.hpp>
#include <utility>

#include "gcw/base/compression.h"

namespace gcw::direct_balancer {
namespace {

// The first byte is the message type: the number of the feed for a
// StateMessage, that number plus kFirstRetained for a RetainedMessage, or
// kWatchUnavailable.
constexpr std::uint8_t kWatchUnavailable = 3;
constexpr std::uint8_t kFirstRetained = 4;
constexpr std::uint8_t kTypeCount = kFirstRetained + direct::kFeedCount;
static_assert(kWatchUnavailable == direct::kFeedCount);
// Flag in the first byte: the bytes that follow are compressed.
constexpr std::uint8_t kCompressed = 0x80;
// Smaller messages are sent uncompressed, since compressing them saves too few
// bytes for its CPU time.
constexpr std::size_t kMinCompressedBytes = 1024;
// Limit of a decompressed message.
constexpr std::size_t kMaxMessageBytes = 2 << 20;
// The age follows the first byte: milliseconds, big-endian.
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

// Decodes a message with an age. The objects of a RetainedMessage are encoded
// as a full relay update to the version of the store.
Result<PeerMessage> DecodeAged(std::uint8_t type,
                               std::span<const std::uint8_t> bytes) {
  if (bytes.size() < kAgeBytes) {
    return Malformed("the age is cut off");
  }
  const absl::Duration age =
      DecodeAge(boost::endian::load_big_u32(bytes.data()));
  auto message = relay::Decode(bytes.subspan(kAgeBytes));
  if (!message.ok()) {
    return message.error();
  }
  if (type < kFirstRetained) {
    return PeerMessage(StateMessage{static_cast<direct::Feed>(type), age,
                                    std::move(message).value()});
  }
  auto* update = std::get_if<relay::Update>(&message.value());
  if (update == nullptr) {
    return Malformed("not an update");
  }
  return PeerMessage(
      RetainedMessage{static_cast<direct::Feed>(type - kFirstRetained), age,
                      update->to, std::move(update->objects)});
}

// Encodes a message with an age.
std::vector<std::uint8_t> EncodeAged(std::uint8_t type,
                                     absl::Duration age,
                                     const relay::Message& message) {
  std::vector<std::uint8_t> bytes(kAgeBytes);
  boost::endian::store_big_u32(bytes.data(), EncodeAge(age));
  const std::vector<std::uint8_t> relayed = relay::Encode(message);
  bytes.insert(bytes.end(), relayed.begin(), relayed.end());
  if (bytes.size() >= kMinCompressedBytes) {
    type |= kCompressed;
    bytes = Compress(bytes);
  }
  bytes.insert(bytes.begin(), type);
  return bytes;
}

std::vector<std::uint8_t> EncodeRetained(const RetainedMessage& retained) {
  relay::Update update;
  update.full = true;
  update.to = retained.store_version;
  update.objects = retained.objects;
  const auto feed = static_cast<std::uint8_t>(retained.feed);
  return EncodeAged(kFirstRetained + feed, retained.age, update);
}

}  // namespace

std::vector<std::uint8_t> EncodePeerMessage(const PeerMessage& message) {
  if (const auto* state = std::get_if<StateMessage>(&message)) {
    return EncodeAged(static_cast<std::uint8_t>(state->feed), state->age,
                      state->message);
  }
  if (const auto* retained = std::get_if<RetainedMessage>(&message)) {
    return EncodeRetained(*retained);
  }
  return {kWatchUnavailable};
}

Result<PeerMessage> DecodePeerMessage(std::span<const std::uint8_t> bytes) {
  if (bytes.empty()) {
    return Malformed("empty");
  }
  const auto type = static_cast<std::uint8_t>(bytes[0] & ~kCompressed);
  if (type == kWatchUnavailable) {
    return PeerMessage(WatchUnavailable{});
  }
  if (type >= kTypeCount) {
    return Malformed("unknown message type");
  }
  if ((bytes[0] & kCompressed) == 0) {
    return DecodeAged(type, bytes.subspan(1));
  }
  const auto plain = Decompress(bytes.subspan(1), kMaxMessageBytes);
  if (!plain.ok()) {
    return plain.error();
  }
  return DecodeAged(type, plain.value());
}

}  // namespace gcw::direct_balancer
