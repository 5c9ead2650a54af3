#include "gcw/wire/packet.h"

#include <catch2/catch.hpp>

#include <random>

#include "gcw/wire/relay_header.h"

namespace gcw::wire {
namespace {

constexpr Endpoint kCaller{0x0a000001, 40000};
constexpr Endpoint kService{0x0a640001, 80};

// Returns the folded Internet checksum over `bytes`, starting from `sum`. For
// bytes that contain a valid checksum, it is 0xffff.
std::uint32_t Fold(std::span<const std::uint8_t> bytes, std::uint32_t sum) {
  for (std::size_t i = 0; i < bytes.size(); i += 2) {
    const std::uint32_t low = i + 1 < bytes.size() ? bytes[i + 1] : 0;
    sum += static_cast<std::uint32_t>(bytes[i]) << 8 | low;
  }
  while (sum >> 16 != 0) {
    sum = (sum & 0xffff) + (sum >> 16);
  }
  return sum;
}

// The sum over the pseudo header of a segment from kCaller to kService.
std::uint32_t PseudoSum(std::uint32_t protocol, std::size_t length) {
  return (kCaller.ip >> 16) + (kCaller.ip & 0xffff) + (kService.ip >> 16) +
         (kService.ip & 0xffff) + protocol + static_cast<std::uint32_t>(length);
}

TEST_CASE("a TCP packet keeps its fields and has valid checksums") {
  const std::vector<std::uint8_t> body{1, 2, 3};
  const TcpHeader header{kCaller, kService, {.syn = true}, 77, 0};
  const auto bytes = BuildTcpPacket(header, body);
  const auto view = PacketView::Parse(bytes);
  REQUIRE(view.has_value());
  CHECK(view->source == kCaller);
  CHECK(view->destination == kService);
  CHECK(view->protocol == Protocol::kTcp);
  CHECK(view->tcp == TcpFlags{.syn = true});
  CHECK(view->sequence == 77);
  CHECK(std::vector(view->payload.begin(), view->payload.end()) == body);
  const std::span all(bytes);
  CHECK(Fold(all.first(20), 0) == 0xffff);
  CHECK(Fold(all.subspan(20), PseudoSum(6, bytes.size() - 20)) == 0xffff);
}

TEST_CASE("a UDP packet keeps its payload and has valid checksums") {
  const std::vector<std::uint8_t> body{9, 8, 7, 6, 5};
  const auto bytes = BuildUdpPacket(kCaller, kService, body);
  const auto view = PacketView::Parse(bytes);
  REQUIRE(view.has_value());
  CHECK(view->protocol == Protocol::kUdp);
  CHECK(std::vector(view->payload.begin(), view->payload.end()) == body);
  const std::span all(bytes);
  CHECK(Fold(all.subspan(20), PseudoSum(17, bytes.size() - 20)) == 0xffff);
}

TEST_CASE("a reset has sequence numbers that its receiver accepts") {
  const auto syn = BuildTcpPacket({kCaller, kService, {.syn = true}, 7, 0}, {});
  const auto syn_view = PacketView::Parse(syn);
  REQUIRE(syn_view.has_value());
  const auto reset = BuildReset(*syn_view);
  const auto reset_view = PacketView::Parse(reset);
  REQUIRE(reset_view.has_value());
  CHECK(reset_view->tcp == TcpFlags{.ack = true, .rst = true});
  CHECK(reset_view->acknowledgement == 8);

  const std::vector<std::uint8_t> body{1};
  const auto data =
      BuildTcpPacket({kCaller, kService, {.ack = true}, 7, 1234}, body);
  const auto data_view = PacketView::Parse(data);
  REQUIRE(data_view.has_value());
  const auto second = BuildReset(*data_view);
  const auto second_view = PacketView::Parse(second);
  REQUIRE(second_view.has_value());
  CHECK(second_view->tcp == TcpFlags{.rst = true});
  CHECK(second_view->sequence == 1234);
  CHECK(second_view->source == kService);
}

TEST_CASE(
    "parsing truncated, fragmented or random packets does not overrun them") {
  const std::vector<std::uint8_t> body(30, 1);
  const auto good = BuildTcpPacket({kCaller, kService, {}, 1, 1}, body);
  for (std::size_t size = 0; size < good.size(); ++size) {
    const std::vector<std::uint8_t> cut(good.begin(),
                                        good.begin() + static_cast<long>(size));
    CHECK_FALSE(PacketView::Parse(cut).has_value());
  }
  auto fragment = good;
  fragment[6] = 0x20;
  CHECK_FALSE(PacketView::Parse(fragment).has_value());

  std::mt19937_64 random(7);
  for (int round = 0; round < 20'000; ++round) {
    std::vector<std::uint8_t> bytes(random() % 80);
    for (auto& byte : bytes) {
      byte = static_cast<std::uint8_t>(random());
    }
    if (!bytes.empty()) {
      bytes[0] = 0x45;
    }
    const auto view = PacketView::Parse(bytes);
    if (view.has_value()) {
      CHECK(view->packet.size() <= bytes.size());
      CHECK(view->payload.size() < bytes.size());
    }
  }
}

TEST_CASE("a relay header keeps its fields, and other bytes are refused") {
  const RelayHeader header{2, 0x8005, 0x0102030405060708, 42, 43};
  const auto bytes = header.Encode();
  CHECK(RelayHeader::Decode(bytes) == header);
  CHECK_FALSE(RelayHeader::Decode(std::span(bytes).first(31)).has_value());
  const auto packet = BuildUdpPacket(kCaller, kService, bytes);
  CHECK_FALSE(RelayHeader::Decode(packet).has_value());
}

}  // namespace
}  // namespace gcw::wire
