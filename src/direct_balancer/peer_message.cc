#include "src/direct_balancer/peer_message.h"

#include <algorithm>
#include <boost/endian/conversion.hpp>
#include <utility>

#include "gcw/base/compression.h"

namespace gcw::direct_balancer {
namespace {

// The first byte: a kind of state by the number of its feed, or kNotServed.
constexpr std::uint8_t kNotServed = 3;
static_assert(kNotServed == direct::kFeedCount);
// Set in it when the rest is compressed.
constexpr std::uint8_t kCompressed = 0x80;
// Smaller messages are not worth the work.
constexpr std::size_t kMinCompressedBytes = 1024;
constexpr std::size_t kMaxMessageBytes = 2 << 20;
// Milliseconds, behind the first byte of a message of state.
constexpr std::size_t kAgeBytes = 4;
constexpr std::uint32_t kNever = 0xffffffff;

std::uint32_t AgeToWire(absl::Duration age) {
  const std::int64_t ms = absl::ToInt64Milliseconds(age);
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(ms, 0, kNever));
}

absl::Duration AgeFromWire(std::uint32_t ms) {
  return ms == kNever ? absl::InfiniteDuration() : absl::Milliseconds(ms);
}

Error Malformed(const char* message) {
  return {ResultCode::kMalformedMessage, "", message};
}

Result<PeerMessage> DecodeState(direct::Feed feed,
                                std::span<const std::uint8_t> bytes) {
  if (bytes.size() < kAgeBytes) {
    return Malformed("no age");
  }
  auto message = relay::Decode(bytes.subspan(kAgeBytes));
  if (!message.ok()) {
    return message.error();
  }
  return PeerMessage(
      StateMessage{feed, AgeFromWire(boost::endian::load_big_u32(bytes.data())),
                   std::move(message).value()});
}

}  // namespace

std::vector<std::uint8_t> EncodePeerMessage(const PeerMessage& message) {
  const auto* state = std::get_if<StateMessage>(&message);
  if (state == nullptr) {
    return {kNotServed};
  }
  std::vector<std::uint8_t> rest(kAgeBytes);
  boost::endian::store_big_u32(rest.data(), AgeToWire(state->age));
  const std::vector<std::uint8_t> relayed = relay::Encode(state->message);
  rest.insert(rest.end(), relayed.begin(), relayed.end());
  auto first = static_cast<std::uint8_t>(state->feed);
  if (rest.size() >= kMinCompressedBytes) {
    first |= kCompressed;
    rest = Compress(rest);
  }
  rest.insert(rest.begin(), first);
  return rest;
}

Result<PeerMessage> DecodePeerMessage(std::span<const std::uint8_t> bytes) {
  if (bytes.empty()) {
    return Malformed("empty");
  }
  const auto kind = static_cast<std::uint8_t>(bytes[0] & ~kCompressed);
  if (kind == kNotServed) {
    return PeerMessage(NotServed{});
  }
  if (kind > kNotServed) {
    return Malformed("unknown kind");
  }
  const auto feed = static_cast<direct::Feed>(kind);
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
