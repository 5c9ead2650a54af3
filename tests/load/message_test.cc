#include "gcw/load/message.h"

#include <catch2/catch.hpp>
#include <random>

namespace gcw::load {
namespace {

Message MakeMessage() {
  Message message{.type = MessageType::kTotal, .tree = 1, .sequence = 77};
  message.figures.sum.daemons = 29;
  message.figures.sum.zones = {{11, 21, 40, 500, 60, 7}, {12, 21, 1, 2, 3, 0}};
  message.figures.sum.servers = {{0xfedcba98, 5, 30, 700}};
  message.figures.coverage = {{21, 10, absl::Milliseconds(350)},
                              {22, 19, absl::Milliseconds(1200)}};
  message.has_servers = true;
  return message;
}

TEST_CASE("a message is decoded as it was encoded") {
  const Message message = MakeMessage();
  const auto decoded = Decode(Encode(message));
  REQUIRE(decoded.ok());
  CHECK(decoded.value() == message);
}

TEST_CASE("malformed messages are refused with the field that is wrong") {
  const std::vector<std::uint8_t> bytes = Encode(MakeMessage());
  for (std::size_t length = 0; length < bytes.size(); ++length) {
    CHECK_FALSE(Decode(std::span(bytes).first(length)).ok());
  }
  std::vector<std::uint8_t> longer = bytes;
  longer.push_back(0);
  CHECK_FALSE(Decode(longer).ok());
  Message wrong_tree = MakeMessage();
  wrong_tree.tree = kTreeCount;
  const auto decoded = Decode(Encode(wrong_tree));
  REQUIRE_FALSE(decoded.ok());
  CHECK(decoded.error().field == "tree");
}

// Messages come over UDP from any program that knows the constant key.
TEST_CASE("altered bytes never crash the decoder") {
  std::mt19937 random(1);
  for (int i = 0; i < 20'000; ++i) {
    std::vector<std::uint8_t> bytes = Encode(MakeMessage());
    for (int change = 0; change < 3; ++change) {
      bytes[random() % bytes.size()] = static_cast<std::uint8_t>(random());
    }
    (void)Decode(bytes);
  }
}

TEST_CASE("a message that is too long keeps the most loaded servers") {
  Message message = MakeMessage();
  for (std::uint32_t i = 0; i < 1000; ++i) {
    message.figures.sum.servers.push_back({i + 1'000'000, i, i, i});
  }
  const std::vector<std::uint8_t> bytes = Encode(message);
  CHECK(bytes.size() <= kMaxMessageBytes);
  const auto decoded = Decode(bytes);
  REQUIRE(decoded.ok());
  const auto& servers = decoded.value().figures.sum.servers;
  CHECK(servers.size() > 60);
  CHECK(servers.front().outstanding == 999);
  CHECK(decoded.value().figures.sum.zones == message.figures.sum.zones);
}

}  // namespace
}  // namespace gcw::load
