#include "gcw/config/codec.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <random>
#include <string>

#include "gcw/config/object_reader.h"

namespace gcw::config {
namespace {

using nlohmann::json;

json ServiceSpec() {
  return json::parse(R"({
    "name": "dispatch", "organisation": "valtellina", "kind": "mixed",
    "addresses": ["10.0.0.1:80", "10.0.0.2:80"],
    "servers": [{"server": "s1", "weight": 100}, {"server": "s2", "weight": 0}],
    "limits": {"queue": 10, "flow_idle_seconds": 60}})");
}

// Returns the field paths of the errors in the order in which they are
// reported.
std::vector<std::string> Fields(const DecodedResource& decoded) {
  std::vector<std::string> fields;
  for (const Error& error : decoded.errors) {
    fields.push_back(error.field);
  }
  return fields;
}

TEST_CASE("every kind of resource survives encoding and decoding") {
  const std::vector<Resource> resources = {
      Organisation{"tayside", "salt:hash"},
      Service{"dispatch",
              "valtellina",
              ServiceKind::kFlow,
              {{0x0a000001, 80}},
              {{"s1", 7}},
              {5, 6}},
      BackendServer{"s1",
                    "",
                    {0x0a000005, 9000},
                    "tirano",
                    3,
                    2000,
                    ServerState::kDraining},
      AvailabilityZone{"tirano", ZoneState::kOut},
  };
  for (const Resource& resource : resources) {
    const Result<StoredObject> stored =
        DecodeStored(IdOf(resource), EncodeStored("op-1", resource), 0, 0);
    REQUIRE(stored.ok());
    CHECK(stored.value().resource == resource);
    CHECK(stored.value().op == "op-1");
    CHECK(ParseKey(KeyOf(IdOf(resource))) == IdOf(resource));
  }
}

TEST_CASE("an error with the field path is reported for every invalid field") {
  json spec = ServiceSpec();
  spec["name"] = "Dispatch";
  spec["kind"] = "tcp";
  spec["addresses"] = {"10.0.0.1:80", "10.0.0.1:80", "0.0.0.0:1", 5,
                       "239.0.0.1:7"};
  spec["servers"] = {{{"server", "s1"}, {"weight", 1001}},
                     {{"server", "s1"}},
                     {{"weight", -1}},
                     "s2"};
  spec["limits"] = {{"queue", 1.5}, {"idle", 1}};
  spec["colour"] = "red";
  const DecodedResource decoded =
      DecodeSpec(ResourceKind::kService, spec, UnknownFields::kRefuse);
  CHECK_FALSE(decoded.resource.has_value());
  CHECK(Fields(decoded) ==
        std::vector<std::string>{
            "name", "kind", "addresses[1]", "addresses[2]", "addresses[3]",
            "addresses[4]", "servers[0].weight", "servers[1].server",
            "servers[2].server", "servers[2].weight", "servers[3]",
            "limits.queue", "limits.idle", "colour"});
}

TEST_CASE(
    "unknown fields are errors in operator input, ignored in stored objects") {
  json spec = ServiceSpec();
  spec["future"] = 1;
  spec["limits"]["future"] = 1;
  CHECK(DecodeSpec(ResourceKind::kService, spec, UnknownFields::kRefuse)
            .errors.size() == 2);
  CHECK(DecodeSpec(ResourceKind::kService, spec, UnknownFields::kIgnore)
            .resource.has_value());
}

TEST_CASE("a stored object whose name differs from its key is refused") {
  const std::string value = EncodeStored("op", AvailabilityZone{"tirano"});
  const Result<StoredObject> stored =
      DecodeStored({ResourceKind::kZone, "sondrio"}, value, 1, 1);
  REQUIRE_FALSE(stored.ok());
  CHECK(stored.error().field == "name");
}

TEST_CASE("duplicate fields, deep nesting and truncated JSON are malformed") {
  const std::string deep(40, '[');
  for (const std::string& text :
       {std::string(R"({"a":1,"a":2})"), std::string(R"({"a":{"b":1,"b":1}})"),
        deep + std::string(40, ']'), deep, std::string("{"), std::string(),
        std::string("\"\xff\""), std::string("1 2")}) {
    INFO(text);
    const Result<json> parsed = ParseJson(text);
    REQUIRE_FALSE(parsed.ok());
    CHECK(parsed.error().code == ResultCode::kMalformedJson);
  }
}

TEST_CASE("invalid resource names and keys are refused") {
  for (const char* name : {"", "-a", "a-", "A", "a b", "a/b", "a.b", "é"}) {
    INFO(name);
    CHECK_FALSE(IsName(name));
    CHECK_FALSE(ParseKey("config/zone/" + std::string(name)).has_value());
  }
  CHECK_FALSE(IsName(std::string(kMaxNameLength + 1, 'a')));
  CHECK_FALSE(ParseKey("config/claim/a").has_value());
  CHECK_FALSE(ParseKey("status/zone/a").has_value());
}

// Replaces one randomly chosen value in a valid spec by another value that is
// invalid for most fields.
json Mutate(json spec, std::mt19937_64& random) {
  const std::vector<json> wrong = {nullptr,
                                   -1,
                                   1e30,
                                   true,
                                   "",
                                   "x y",
                                   json::array(),
                                   json::object(),
                                   "9.9.9.9:99999",
                                   18446744073709551615ULL};
  const json flat = spec.flatten();
  auto it = flat.begin();
  std::advance(it, static_cast<std::ptrdiff_t>(random() % flat.size()));
  spec[json::json_pointer(it.key())] = wrong[random() % wrong.size()];
  return spec;
}

TEST_CASE("1,000 mutated specs are decoded or refused with a field path") {
  std::mt19937_64 random(7);
  int refused = 0;
  for (int i = 0; i < 1000; ++i) {
    const json spec = Mutate(ServiceSpec(), random);
    INFO(spec.dump());
    const DecodedResource decoded =
        DecodeSpec(ResourceKind::kService, spec, UnknownFields::kRefuse);
    CHECK(decoded.resource.has_value() == decoded.errors.empty());
    for (const Error& error : decoded.errors) {
      CHECK_FALSE(error.field.empty());
    }
    refused += decoded.errors.empty() ? 0 : 1;
  }
  CHECK(refused > 900);
}

}  // namespace
}  // namespace gcw::config
