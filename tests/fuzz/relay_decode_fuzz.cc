#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <span>
#include <vector>

#include "gcw/relay/versioned_relay.h"
#include "tests/fuzz/mutate.h"

namespace relay = gcw::relay;

namespace {

std::vector<std::uint8_t> MakeValidMessage() {
  relay::Update update;
  update.from = 1;
  update.to = 20;
  update.objects = {{"config/a", 5, 5, "{}", false},
                    {"config/b", 9, 2, "[1]", false},
                    {"config/c", 20, 0, "", true}};
  return relay::Encode(update);
}

// Checks that a message that decodes is unchanged when it is encoded and
// decoded again, and that a relay that receives the message sends only messages
// that decode and never goes back to an older revision.
void CheckInput(std::span<const std::uint8_t> bytes) {
  const auto message = relay::Decode(bytes);
  if (!message.ok()) {
    return;
  }
  const auto decoded_again = relay::Decode(relay::Encode(message.value()));
  if (!decoded_again.ok() || decoded_again.value() != message.value()) {
    std::abort();
  }
  relay::Options options;
  options.name = "a";
  options.zone = "z";
  const absl::Time now = absl::FromUnixSeconds(1'800'000'000);
  auto made = relay::VersionedRelay::Make(options, now, 1);
  const relay::Peer peer = {"b", "z"};
  made.value()->SetPeers(std::span(&peer, 1), now);
  relay::Version revision = 0;
  for (int i = 0; i < 2; ++i) {
    const auto actions = made.value()->OnMessage("b", message.value(),
                                                 absl::ZeroDuration(), now);
    for (const auto& out : actions.messages) {
      if (!relay::Decode(relay::Encode(out.message)).ok()) {
        std::abort();
      }
    }
    if (made.value()->revision() < revision) {
      std::abort();
    }
    revision = made.value()->revision();
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
