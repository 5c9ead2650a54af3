#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <span>
#include <string>
#include <vector>

#include "src/direct_balancer/peer_message.h"
#include "tests/fuzz/mutate.h"

namespace direct_balancer = gcw::direct_balancer;
namespace relay = gcw::relay;

namespace {

std::vector<std::uint8_t> MakeValidMessage() {
  relay::Update update;
  update.from = 1;
  update.to = 9;
  update.objects = {{"servers/a", 9, 2, std::string(2000, 'x'), false}};
  return direct_balancer::EncodePeerMessage(direct_balancer::StateMessage{
      gcw::direct::Feed::kServers, absl::Seconds(1), update});
}

// Checks that a message that decodes can be encoded and decoded again as the
// same type.
void CheckInput(std::span<const std::uint8_t> bytes) {
  const auto message = direct_balancer::DecodePeerMessage(bytes);
  if (!message.ok()) {
    return;
  }
  const auto decoded_again = direct_balancer::DecodePeerMessage(
      direct_balancer::EncodePeerMessage(message.value()));
  if (!decoded_again.ok() ||
      decoded_again.value().index() != message.value().index()) {
    std::abort();
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::span input(data, size);
  CheckInput(input);
  CheckInput(gcw::fuzz::Mutate(MakeValidMessage(), input));
  return 0;
}
