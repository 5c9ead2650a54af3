#include "gcw/relay/message.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <random>

namespace gcw::relay {
namespace {

using Json = nlohmann::json;

Update MakeUpdate() {
  Update update;
  update.from = 4;
  update.to = 20;
  update.part = 1;
  update.parts = 3;
  update.objects = {{"config/a", 5, 5, "{}", false},
                    {"config/b", 9, 2, "[1]", false},
                    {"config/c", 20, 0, "", true}};
  return update;
}

TEST_CASE("relay messages are unchanged by encoding and decoding") {
  const Message messages[] = {Digest{7, ~std::uint64_t{0}}, Request{9},
                              MakeUpdate()};
  for (const Message& message : messages) {
    auto decoded = Decode(Encode(message));
    REQUIRE(decoded.ok());
    CHECK(decoded.value() == message);
  }
}

TEST_CASE("truncated and extended relay messages are rejected") {
  auto bytes = Encode(MakeUpdate());
  for (std::size_t length = 0; length < bytes.size(); ++length) {
    REQUIRE_FALSE(Decode(std::span(bytes).first(length)).ok());
  }
  bytes.push_back(0);
  CHECK_FALSE(Decode(bytes).ok());
}

TEST_CASE("decoding errors of relay messages name the invalid field") {
  const auto field = [](const Json& value) {
    auto result = Decode(Json::to_cbor(value));
    REQUIRE_FALSE(result.ok());
    CHECK(result.error().code == ResultCode::kMalformedMessage);
    return result.error().field;
  };
  const Json good = Json::from_cbor(Encode(MakeUpdate()));
  Json bad = good;
  bad[0] = 9;
  CHECK(field(bad) == "kind");
  bad = good;
  bad[2] = 21;
  CHECK(field(bad) == "from");
  bad = good;
  bad[4] = 3;
  CHECK(field(bad) == "part");
  bad = good;
  bad[6][0][1] = 4;
  bad[6][0][2] = 4;
  CHECK(field(bad) == "objects[0]");
  bad = good;
  bad[6][1][1] = 21;
  CHECK(field(bad) == "objects[1]");
  bad = good;
  bad[6][1][2] = 10;
  CHECK(field(bad) == "objects[1].version");
  bad = good;
  bad[6][2][4] = "1";
  CHECK(field(bad) == "objects[2].json");
  bad = good;
  bad[6][0][0] = "";
  CHECK(field(bad) == "objects[0].key");
  // A full update must not contain a deletion.
  bad = good;
  bad[1] = 1;
  CHECK(field(bad) == "objects[2]");
}

// Guards against stack exhaustion: each 0x81 byte opens a nested array.
TEST_CASE("deeply nested CBOR is rejected") {
  const std::vector<std::uint8_t> bytes(1'000'000, 0x81);
  CHECK_FALSE(Decode(bytes).ok());
}

TEST_CASE("corrupted relay messages never crash the decoder") {
  std::mt19937_64 random(7);
  const auto good = Encode(MakeUpdate());
  std::size_t accepted = 0;
  for (int round = 0; round < 20'000; ++round) {
    auto bytes = good;
    for (std::size_t i = 0; i < 1 + random() % 3; ++i) {
      bytes[random() % bytes.size()] = static_cast<std::uint8_t>(random());
    }
    auto decoded = Decode(bytes);
    if (decoded.ok()) {
      ++accepted;
      REQUIRE(Decode(Encode(decoded.value())).value() == decoded.value());
    }
  }
  CHECK(accepted > 0);
}

}  // namespace
}  // namespace gcw::relay
