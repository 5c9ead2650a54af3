#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <span>
#include <vector>

#include "platform/packet_header.h"
#include "tests/fuzz/damage.h"

namespace adapter = gcw::adapter;

namespace {

constexpr std::uint32_t kCookie = 0x01020304;

// The header of a first packet.
std::vector<std::uint8_t> GoodPacket() {
  std::vector<std::uint8_t> packet(adapter::kHeaderBytes, 0);
  packet[14] = 0x80;
  return packet;
}

// A packet that decodes keeps its flow when a cookie is written into it, and
// its reset decodes as the same flow the other way round.
void Try(std::span<const std::uint8_t> bytes) {
  const auto packet = adapter::DecodePacket(bytes);
  if (!packet.has_value()) {
    return;
  }
  std::vector<std::uint8_t> sent(bytes.begin(), bytes.end());
  adapter::WriteCookie(sent, kCookie);
  const auto again = adapter::DecodePacket(sent);
  if (!again.has_value() || again->cookie != kCookie ||
      again->flow != packet->flow || again->payload != packet->payload) {
    std::abort();
  }
  const auto reset = adapter::DecodePacket(adapter::EncodeReset(*packet));
  if (!reset.has_value() || !reset->rst ||
      reset->flow.caller != packet->flow.service ||
      reset->flow.service != packet->flow.caller) {
    std::abort();
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::span input(data, size);
  Try(input);
  Try(gcw::fuzz::Damage(GoodPacket(), input));
  if (size >= sizeof(std::uint64_t)) {
    std::uint64_t number = 0;
    for (const std::uint8_t byte : input.first(sizeof(number))) {
      number = number << 8U | byte;
    }
    const adapter::ServerPrefix prefix = adapter::EncodeServerPrefix(number);
    if (!std::equal(prefix.begin(), prefix.end(), data)) {
      std::abort();
    }
  }
  return 0;
}
