#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <span>
#include <vector>

#include "gcw/membership/membership.h"
#include "tests/fuzz/mutate.h"

using gcw::Endpoint;
namespace membership = gcw::membership;

namespace {

std::vector<std::uint8_t> MakeValidMessage() {
  const membership::MemberUpdate gossip = {
      "b", "z", Endpoint{2, 2}, membership::MemberState::kSuspect, 9};
  membership::Message message;
  message.type = membership::MessageType::kSyncReply;
  message.sender = gossip;
  message.target = "c";
  message.gossip = {gossip, {"a", "z", Endpoint{1, 1}, {}, 7}};
  message.payload = {1, 2, 3};
  return membership::Encode(message);
}

// Checks that a message that decodes is unchanged when it is encoded and
// decoded again, and that a Membership that receives the message sends only
// messages that decode.
void CheckInput(std::span<const std::uint8_t> bytes) {
  const auto message = membership::Decode(bytes);
  if (!message.ok()) {
    return;
  }
  const auto decoded_again =
      membership::Decode(membership::Encode(message.value()));
  if (!decoded_again.ok() || decoded_again.value() != message.value()) {
    std::abort();
  }
  membership::Options options;
  options.name = "a";
  options.zone = "z";
  options.advertise = Endpoint{1, 1};
  const absl::Time now = absl::FromUnixSeconds(1'800'000'000);
  auto made = membership::Membership::Make(options, now, 1);
  for (int i = 0; i < 2; ++i) {
    const auto actions =
        made.value()->OnMessage(Endpoint{2, 2}, message.value(), now);
    for (const auto& out : actions.messages) {
      if (!membership::Decode(membership::Encode(out.message)).ok()) {
        std::abort();
      }
    }
  }
  (void)made.value()->OnTick(now);
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::span input(data, size);
  CheckInput(input);
  CheckInput(gcw::fuzz::Mutate(MakeValidMessage(), input));
  return 0;
}
