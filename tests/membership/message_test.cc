#include "gcw/membership/message.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <random>

namespace gcw::membership {
namespace {

MemberUpdate MakeUpdate(int i) {
  return MemberUpdate{"entry-" + std::to_string(i), "zone-a",
                      Endpoint{0x0a000001, 7005}, MemberState::kSuspect,
                      0x123456789abcdefULL};
}

Message MakeMessage(std::size_t updates) {
  Message message;
  message.type = MessageType::kSyncReply;
  message.nonce = 77;
  message.sender = MakeUpdate(0);
  message.revision = ~std::uint64_t{0};
  message.digest = 0xffffffff;
  message.target = "entry-9";
  for (std::size_t i = 0; i < updates; ++i) {
    message.gossip.push_back(MakeUpdate(static_cast<int>(i)));
  }
  message.payload = {1, 2, 3};
  return message;
}

TEST_CASE("messages are unchanged by encoding and decoding") {
  for (std::size_t updates : {0, 1, 8}) {
    const Message message = MakeMessage(updates);
    auto decoded = Decode(Encode(message));
    REQUIRE(decoded.ok());
    CHECK(decoded.value() == message);
  }
}

TEST_CASE("truncated messages are rejected") {
  const auto bytes = Encode(MakeMessage(3));
  for (std::size_t length = 0; length < bytes.size(); ++length) {
    REQUIRE_FALSE(Decode(std::span(bytes).first(length)).ok());
  }
}

TEST_CASE("bytes after a message are rejected") {
  auto bytes = Encode(MakeMessage(1));
  bytes.push_back(0);
  CHECK_FALSE(Decode(bytes).ok());
}

TEST_CASE("decoding errors name the invalid field") {
  const auto decode = [](nlohmann::json value) {
    auto result = Decode(nlohmann::json::to_cbor(value));
    REQUIRE_FALSE(result.ok());
    CHECK(result.error().code == ResultCode::kMalformedMessage);
    return result.error().field;
  };
  const auto good = nlohmann::json::from_cbor(Encode(MakeMessage(2)));
  auto bad = good;
  bad[0] = 99;
  CHECK(decode(bad) == "type");
  bad = good;
  bad[2][3] = 70000;
  CHECK(decode(bad) == "sender.port");
  bad = good;
  bad[2][0] = "a b";
  CHECK(decode(bad) == "sender.name");
  bad = good;
  bad[3] = -1;
  CHECK(decode(bad) == "revision");
  bad = good;
  bad[6][1][4] = 9;
  CHECK(decode(bad) == "gossip[1].state");
  bad = good;
  bad[6][1][2] = 0;
  CHECK(decode(bad) == "gossip[1].ip");
  bad = good;
  bad[5] = std::string(65, 'x');
  CHECK(decode(bad) == "target");
  bad = good;
  bad.push_back(1);
  CHECK(decode(bad).empty());
}

// Guards against stack exhaustion: each 0x81 byte opens a nested array.
TEST_CASE("deeply nested CBOR is rejected") {
  std::vector<std::uint8_t> bytes(kMaxMessageBytes, 0x81);
  CHECK_FALSE(Decode(bytes).ok());
}

TEST_CASE("corrupted messages never crash the decoder") {
  std::mt19937_64 random(7);
  const auto good = Encode(MakeMessage(4));
  std::size_t accepted = 0;
  for (int round = 0; round < 20'000; ++round) {
    auto bytes = good;
    const int changes = 1 + static_cast<int>(random() % 4);
    for (int i = 0; i < changes; ++i) {
      bytes[random() % bytes.size()] = static_cast<std::uint8_t>(random());
    }
    auto decoded = Decode(bytes);
    if (decoded.ok()) {
      ++accepted;
      // An accepted message is unchanged by encoding and decoding.
      REQUIRE(Decode(Encode(decoded.value())).value() == decoded.value());
    }
  }
  CHECK(accepted > 0);
}

}  // namespace
}  // namespace gcw::membership
