#include "src/direct_balancer/peer_message.h"

#include <catch2/catch.hpp>
#include <random>

namespace gcw::direct_balancer {
namespace {

// Encodes and decodes `message`.
PeerMessage RoundTrip(const PeerMessage& message) {
  auto decoded = DecodePeerMessage(EncodePeerMessage(message));
  REQUIRE(decoded.ok());
  return std::move(decoded).value();
}

TEST_CASE("messages between daemons survive encoding and decoding") {
  for (const absl::Duration age :
       {absl::ZeroDuration(), absl::Milliseconds(1500),
        absl::InfiniteDuration()}) {
    const PeerMessage decoded = RoundTrip(StateMessage{
        direct::Feed::kServers, age, relay::Digest{.revision = 7, .hash = 9}});
    const auto& state = std::get<StateMessage>(decoded);
    CHECK(state.feed == direct::Feed::kServers);
    CHECK(state.age == age);
    CHECK(std::get<relay::Digest>(state.message) ==
          relay::Digest{.revision = 7, .hash = 9});
  }
  CHECK(
      std::holds_alternative<WatchUnavailable>(RoundTrip(WatchUnavailable{})));
}

TEST_CASE("retained objects survive encoding and decoding") {
  const RetainedMessage message{direct::Feed::kZones,
                                absl::Seconds(3),
                                MakeStoreVersion(2, 7),
                                {{"zones/a", 3, 1, "{}"}}};
  const PeerMessage decoded = RoundTrip(message);
  const auto& retained = std::get<RetainedMessage>(decoded);
  CHECK(retained.feed == message.feed);
  CHECK(retained.age == message.age);
  CHECK(retained.store_version == message.store_version);
  CHECK(retained.objects == message.objects);
}

TEST_CASE("large messages are compressed") {
  relay::Update update;
  update.full = true;
  update.to = 3;
  update.objects.push_back({"config/main", 3, 1, std::string(100'000, 'x')});
  const StateMessage message{direct::Feed::kConfiguration, absl::ZeroDuration(),
                             update};
  CHECK(EncodePeerMessage(message).size() < 5000);
  CHECK(std::get<relay::Update>(
            std::get<StateMessage>(RoundTrip(message)).message) == update);
}

TEST_CASE("truncated messages are refused and random bytes do not throw") {
  const auto encoded = EncodePeerMessage(
      StateMessage{direct::Feed::kZones, absl::Seconds(1), relay::Request{5}});
  for (std::size_t size = 0; size < encoded.size(); ++size) {
    CHECK_FALSE(DecodePeerMessage(std::span(encoded).first(size)).ok());
  }
  std::mt19937 random(5);
  for (int i = 0; i < 20'000; ++i) {
    std::vector<std::uint8_t> bytes(random() % 60);
    for (std::uint8_t& byte : bytes) {
      byte = static_cast<std::uint8_t>(random());
    }
    (void)DecodePeerMessage(bytes);
  }
}

}  // namespace
}  // namespace gcw::direct_balancer
