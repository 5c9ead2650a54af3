#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <span>
#include <vector>

#include "platform/packet_header.h"
#include "tests/fuzz/mutate.h"

namespace adapter = gcw::adapter;

namespace {

constexpr std::uint32_t kCookie = 0x01020304;

// The header of the first packet of a flow.
std::vector<std::uint8_t> MakeValidPacket() {
  std::vector<std::uint8_t> packet(adapter::kHeaderBytes, 0);
  packet[14] = 0x80;
  return packet;
}

// Checks that a packet that decodes keeps its flow and payload size when a
// cookie is written into it, and that its reset decodes with caller and service
// swapped.
void CheckInput(std::span<const std::uint8_t> bytes) {
  const auto packet = adapter::DecodePacket(bytes);
  if (!packet.has_value()) {
    return;
  }
  std::vector<std::uint8_t> sent(bytes.begin(), bytes.end());
  adapter::WriteCookie(sent, kCookie);
  const auto decoded_again = adapter::DecodePacket(sent);
  if (!decoded_again.has_value() || decoded_again->cookie != kCookie ||
      decoded_again->flow != packet->flow ||
      decoded_again->payload != packet->payload) {
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
  CheckInput(input);
  CheckInput(gcw::fuzz::Mutate(MakeValidPacket(), input));
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
