#include "gcw/dispatch/codec.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <random>
#include <vector>

namespace gcw::dispatch {
namespace {

Request ExampleRequest() {
  Request request;
  request.id = "van-7/1";
  request.organisation = "valtellina";
  request.service = "dispatch";
  request.deadline = absl::Milliseconds(1500);
  request.worth = 2.5;
  request.body = {1, 2, 3};
  request.answer_bytes = 4000;
  return request;
}

AnswerPart ExamplePart() {
  AnswerPart part;
  part.id = "van-7/1";
  part.service = "dispatch";
  part.part = 1;
  part.parts = 3;
  part.body = {9, 8};
  part.server = "s1";
  part.incarnation = 7;
  part.sum = 0xffffffffffffffffULL;
  part.attempt_id = "d1-55";
  part.service_time = absl::Microseconds(1234);
  return part;
}

std::vector<Message> ExampleMessages() {
  Request sent = ExampleRequest();
  sent.attempt = 2;
  sent.attempt_id = "d1-56";
  return {ExampleRequest(),
          sent,
          Cancel{"van-7/1", ""},
          Cancel{"van-7/1", "d1-55"},
          ExamplePart(),
          Refusal{"van-7/1", ResultCode::kRefusedDeadline, true},
          Shed{"van-7/1", "d1-55", "s1", 7},
          LoadQuery{99},
          LoadReport{99, "s1", 1, 3, 200, false, 7}};
}

std::vector<PeerBody> ExampleBodies() {
  const RoutedRequest routed{
      ExampleRequest(), {0x0a000001, 4000}, {0x0a000002, 80}};
  const SlotHint hint{"dispatch", 2, 0, 3};
  return {ForwardRequest{routed},
          ForwardCancel{"a"},
          RequestCompleted{"a"},
          Claim{"a"},
          ClaimReply{"a", ClaimVerdict::kTaken, "d2"},
          AssignRequest{routed, 2, 1, "s3"},
          AssignmentCancel{"a", 2},
          AssignmentAnswer{2, ExamplePart(), hint},
          AssignmentOutcome{"a", 2, AssignmentOutcomeKind::kShed,
                            ResultCode::kRefusedShed, 3, "s1", hint},
          SlotHints{{hint, hint}, {{"s1", 7, true, absl::Milliseconds(900)}}},
          PeerAck{12}};
}

TEST_CASE("each message is unchanged after encoding and decoding", "[codec]") {
  for (const Message& message : ExampleMessages()) {
    const Result<Message> decoded = Decode(Encode(message));
    REQUIRE(decoded.ok());
    CHECK(decoded.value() == message);
  }
  for (const PeerBody& body : ExampleBodies()) {
    const PeerMessage message{77, 5, 6, body};
    const Result<PeerMessage> decoded = DecodePeer(EncodePeer(message));
    INFO((decoded.ok() ? "" : ToString(decoded.error())));
    REQUIRE(decoded.ok());
    CHECK(decoded.value() == message);
  }
}

TEST_CASE("the first bits tell a message from a flow packet", "[codec]") {
  for (const Message& message : ExampleMessages()) {
    // CBOR major type 5, a map.
    CHECK(Encode(message).front() >> 5 == 0b101);
  }
}

TEST_CASE("invalid bytes give kMalformedMessage and never a crash", "[codec]") {
  std::mt19937_64 random(1);
  for (const Message& message : ExampleMessages()) {
    const Bytes whole = Encode(message);
    for (std::size_t size = 0; size < whole.size(); ++size) {
      const Result<Message> cut = Decode(std::span(whole).first(size));
      REQUIRE(!cut.ok());
      CHECK(cut.error().code == ResultCode::kMalformedMessage);
    }
    for (int round = 0; round < 500; ++round) {
      Bytes changed = whole;
      changed[random() % changed.size()] = static_cast<std::uint8_t>(random());
      const Result<Message> decoded = Decode(changed);
      CHECK((decoded.ok() ||
             decoded.error().code == ResultCode::kMalformedMessage));
    }
  }
  for (const PeerBody& body : ExampleBodies()) {
    const Bytes whole = EncodePeer(PeerMessage{1, 5, 0, body});
    for (int round = 0; round < 500; ++round) {
      Bytes changed = whole;
      changed[random() % changed.size()] = static_cast<std::uint8_t>(random());
      const Result<PeerMessage> decoded = DecodePeer(changed);
      CHECK((decoded.ok() ||
             decoded.error().code == ResultCode::kMalformedMessage));
    }
  }
}

TEST_CASE("a decoding error names the invalid field", "[codec]") {
  nlohmann::json map = nlohmann::json::from_cbor(Encode(ExampleRequest()));
  map["w"] = -1;
  const Result<Message> negative = Decode(nlohmann::json::to_cbor(map));
  REQUIRE(!negative.ok());
  CHECK(negative.error().field == "w");
  map["w"] = 1;
  map.erase("idem");
  const Result<Message> missing = Decode(nlohmann::json::to_cbor(map));
  REQUIRE(!missing.ok());
  CHECK(missing.error().field == "idem");
}

}  // namespace
}  // namespace gcw::dispatch
