#include "platform/packet_header.h"

#include <catch2/catch.hpp>
#include <random>
#include <vector>

namespace gcw::adapter {
namespace {

std::vector<std::uint8_t> FromHex(std::string_view text) {
  std::vector<std::uint8_t> bytes;
  for (std::size_t i = 0; i + 1 < text.size(); i += 3) {
    bytes.push_back(static_cast<std::uint8_t>(
        std::stoi(std::string(text.substr(i, 2)), nullptr, 16)));
  }
  return bytes;
}

// The example packets of the users' documentation, in hex.
constexpr std::string_view kSynExample =
    "07 00 40 64 01 00 12 c6 41 9c bb 01 00 00 80 00 00 00 44 33 22 11 00 00 "
    "00 00 00 00 00 00 d5 c3 b2 a1 ";
constexpr std::string_view kResetExample =
    "01 00 12 c6 07 00 40 64 bb 01 41 9c 00 00 04 00 00 00 00 00 00 00 00 00 "
    "00 00 00 00 00 00 00 00 00 00 ";

TEST_CASE("the documented example of a first packet is decoded") {
  const auto packet = DecodePacket(FromHex(kSynExample));
  REQUIRE(packet.has_value());
  CHECK(ToString(packet->flow.caller) == "100.64.0.7:40001");
  CHECK(ToString(packet->flow.service) == "198.18.0.1:443");
  CHECK(packet->syn);
  CHECK_FALSE(packet->fin);
  CHECK_FALSE(packet->rst);
  CHECK(packet->sequence == 0x11223344);
  CHECK(packet->acknowledged == 0);
  CHECK(packet->payload == 0);
  CHECK(packet->cookie == 0);
}

TEST_CASE("a reset is encoded as in the documented example") {
  const auto packet = DecodePacket(FromHex(kSynExample));
  REQUIRE(packet.has_value());
  const Header reset = EncodeReset(*packet);
  CHECK(std::vector<std::uint8_t>(reset.begin(), reset.end()) ==
        FromHex(kResetExample));
  CHECK(ToString(CallerAddress(*packet, 8172)) == "100.64.0.7:8172");
}

// A caller ignores a reset whose sequence number is far from the last one that
// the caller acknowledged.
TEST_CASE("a reset has the caller's acknowledged number as its sequence") {
  direct::Packet packet;
  packet.acknowledged = 0x01020304;
  const Header reset = EncodeReset(packet);
  CHECK(reset[18] == 0x04);
  CHECK(reset[21] == 0x01);
}

TEST_CASE("WriteCookie changes only the cookie field") {
  std::vector<std::uint8_t> bytes = FromHex(kSynExample);
  const std::vector<std::uint8_t> before = bytes;
  WriteCookie(bytes, 0xa1b2c3d4);
  CHECK(DecodePacket(bytes)->cookie == 0xa1b2c3d4);
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    if (i < 26 || i >= 30) {
      CHECK(bytes[i] == before[i]);
    }
  }
}

TEST_CASE("the server prefix is the server number, big-endian") {
  const ServerPrefix prefix = EncodeServerPrefix(0x7f3a91c2);
  const ServerPrefix expected{0, 0, 0, 0, 0x7f, 0x3a, 0x91, 0xc2};
  CHECK(prefix == expected);
}

TEST_CASE("truncated and padded packets are refused") {
  const std::vector<std::uint8_t> bytes = FromHex(kSynExample);
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    CHECK_FALSE(DecodePacket(std::span(bytes).first(size)).has_value());
  }
  std::vector<std::uint8_t> longer = bytes;
  longer.push_back(0);
  CHECK_FALSE(DecodePacket(longer).has_value());
  longer[12] = 1;  // The length field now includes the extra byte.
  CHECK(DecodePacket(longer)->payload == 1);
}

TEST_CASE("a random datagram is decoded only if its length field matches") {
  std::mt19937 random(7);
  for (int i = 0; i < 20'000; ++i) {
    std::vector<std::uint8_t> bytes(random() % 80);
    for (std::uint8_t& byte : bytes) {
      byte = static_cast<std::uint8_t>(random());
    }
    const auto packet = DecodePacket(bytes);
    CHECK((!packet || packet->payload + kHeaderBytes == bytes.size()));
  }
}

}  // namespace
}  // namespace gcw::adapter
