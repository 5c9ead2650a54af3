#include "src/lab/messages.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "src/lab/inner_packet.h"
#include "tests/lab/fixture.h"

namespace gcw::lab {
namespace {

TEST_CASE("encoded messages have the field names of docs/WIRE.md") {
  RequestMessage request;
  request.id = "a";
  request.service = "dispatch";
  request.deadline_ms = 900;
  auto json = nlohmann::json::from_cbor(Encode(request));
  for (const char* field :
       {"t", "id", "organisation", "svc", "dl", "w", "idem"}) {
    CHECK(json.contains(field));
  }
  // Callers send no attempt id; daemons add it for the server.
  CHECK_FALSE(json.contains("rid"));
  CHECK(json["body"].is_binary());
  request.attempt_id = "a/1";
  request.attempt = 1;
  json = nlohmann::json::from_cbor(Encode(request));
  CHECK(json["rid"] == "a/1");
  CHECK(json["att"] == 1);
  CHECK(Encode(request)[0] >> 5 == 5);  // A CBOR map.
}

TEST_CASE(
    "a decoded message equals the encoded one, and truncated bytes don't "
    "decode") {
  AnswerMessage answer;
  answer.id = "a";
  answer.attempt_id = "a/1";
  answer.parts = 3;
  answer.body = AnswerBody("a", 50);
  answer.checksum = ~0ULL;
  const Bytes bytes = Encode(answer);
  const auto decoded = Decode(bytes);
  REQUIRE(decoded);
  CHECK(std::get<AnswerMessage>(*decoded).body == answer.body);
  CHECK(std::get<AnswerMessage>(*decoded).checksum == answer.checksum);
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    CHECK_FALSE(Decode(std::span(bytes).first(size)).has_value());
  }
}

TEST_CASE("the id of a request determines the body of its answer") {
  CHECK(AnswerBody("a", 600) == AnswerBody("a", 600));
  CHECK(AnswerBody("a", 600) != AnswerBody("b", 600));
}

TEST_CASE("a caller reassembles an answer of several parts") {
  Fixture f;
  const ServiceIndex archive = f.topology.FindService("archive");
  const ServerIndex server = f.topology.FindServer("archive-1");
  f.route = [&](const InnerPacket&, DaemonIndex) { return server; };
  for (int i = 0; i < 5; ++i) {
    f.callers.SendOne(archive, 0, true);
    f.scheduler.Advance(absl::Seconds(2));
  }
  CHECK(f.Sent<AnswerMessage>().size() >= 9);
  CHECK(f.requests.totals().delivered >= 3);
  CHECK(f.requests.totals().wrong_answer == 0);
}

TEST_CASE(
    "packets survive encoding and decoding, with valid IP checksums; truncated "
    "bytes don't decode") {
  const Bytes payload = {1, 2, 3};
  InnerPacket packet;
  packet.source = {0x0a000001, 1234};
  packet.destination = {0xc6336401, 7443};
  packet.flags = kTcpSyn;
  packet.seq = 77;
  packet.payload = payload;
  for (const bool is_tcp : {true, false}) {
    packet.is_tcp = is_tcp;
    const Bytes bytes = EncodePacket(packet);
    const auto decoded = DecodePacket(bytes);
    REQUIRE(decoded);
    CHECK(decoded->source == packet.source);
    CHECK(decoded->destination == packet.destination);
    CHECK(Bytes(decoded->payload.begin(), decoded->payload.end()) == payload);
    std::uint32_t sum = 0;
    for (std::size_t i = 0; i < 20; i += 2) {
      sum += static_cast<std::uint32_t>(bytes[i] << 8 | bytes[i + 1]);
    }
    CHECK((sum & 0xffff) + (sum >> 16) == 0xffff);
    for (std::size_t size = 0; size < bytes.size(); ++size) {
      CHECK_FALSE(DecodePacket(std::span(bytes).first(size)).has_value());
    }
  }
}

}  // namespace
}  // namespace gcw::lab
