#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "gcw/config/codec.h"
#include "gcw/config/snapshot_builder.h"
#include "gcw/config/validate.h"

namespace gcw::config {
namespace {

constexpr Endpoint kAddressA{0x0a000001, 80};
constexpr Endpoint kAddressB{0x0a000002, 80};
constexpr Endpoint kServerAddress{0x0a000101, 9000};

// Returns the stored object of `resource`, without address claims.
ObjectRecord Record(const Resource& resource, Version version) {
  return {KeyOf(IdOf(resource)), version, version,
          EncodeStored("op", resource)};
}

Service MakeService(std::string name,
                    std::string organisation,
                    Endpoint address) {
  Service service;
  service.name = std::move(name);
  service.organisation = std::move(organisation);
  service.addresses = {address};
  return service;
}

BackendServer MakeServer(std::string name,
                         std::string organisation,
                         Endpoint address) {
  BackendServer server;
  server.name = std::move(name);
  server.organisation = std::move(organisation);
  server.address = address;
  server.zone = "tirano";
  return server;
}

// Returns a configuration of two organisations, one availability zone, one
// shared backend server, one backend server of each organisation, and one
// service.
std::vector<ObjectRecord> BaseRecords() {
  Service service = MakeService("dispatch", "valtellina", kAddressA);
  service.servers = {{"shared", 100}, {"own", 100}};
  return {Record(Organisation{"valtellina", ""}, 1),
          Record(Organisation{"tayside", ""}, 2),
          Record(AvailabilityZone{"tirano"}, 3),
          Record(MakeServer("shared", "", kServerAddress), 4),
          Record(MakeServer("own", "valtellina", {0x0a000102, 9000}), 5),
          Record(MakeServer("desk1", "tayside", {0x0a000103, 9000}), 6),
          Record(service, 7)};
}

std::vector<ResultCode> Codes(const std::vector<Error>& errors) {
  std::vector<ResultCode> codes;
  for (const Error& error : errors) {
    codes.push_back(error.code);
  }
  return codes;
}

// Validates a change of resource `id` in the configuration of BaseRecords().
// Returns the codes of the errors.
std::vector<ResultCode> Validate(const ResourceId& id,
                                 std::optional<Resource> after) {
  const BuiltSnapshot built = BuildSnapshot(BaseRecords(), 7);
  return Codes(ValidateChange(*built.snapshot, {id, std::move(after)}));
}

std::vector<ResultCode> ValidateWrite(const Resource& after) {
  return Validate(IdOf(after), after);
}

TEST_CASE("an object that cannot be decoded is left out and reported") {
  std::vector<ObjectRecord> records = BaseRecords();
  records.push_back({"config/zone/morbegno", 8, 8, "{\"spec\":"});
  records.push_back({"config/zone/sondrio", 9, 9, "{}"});
  records.push_back({"lease/x", 10, 10, "7"});
  const BuiltSnapshot built = BuildSnapshot(records, 20);
  CHECK(built.snapshot->revision == 20);
  CHECK(built.snapshot->zones.size() == 1);
  CHECK(built.snapshot->services.size() == 1);
  REQUIRE(built.problems.size() == 2);
  CHECK(built.problems[0].key == "config/zone/morbegno");
  CHECK(built.problems[0].error.code == ResultCode::kMalformedJson);
  CHECK(built.problems[1].error.code == ResultCode::kMissingField);
}

TEST_CASE("a conflicting address goes to the later write in any record order") {
  std::vector<ObjectRecord> records = BaseRecords();
  records.push_back(Record(MakeService("desk", "tayside", kAddressA), 9));
  for (int order = 0; order < 2; ++order) {
    const BuiltSnapshot built = BuildSnapshot(records, 9);
    CHECK(built.snapshot->services.at("dispatch").addresses.empty());
    CHECK(built.snapshot->services.at("desk").addresses.size() == 1);
    REQUIRE(built.problems.size() == 1);
    CHECK(built.problems[0].error.code == ResultCode::kAddressClaimed);
    std::reverse(records.begin(), records.end());
  }
}

// A delayed write can reach the platform after another resource has taken over
// the claim of its address. Its claim version is then the smaller one.
TEST_CASE("a late write with an older claim does not get the address") {
  std::vector<ObjectRecord> records = BaseRecords();
  const Service holder = MakeService("desk", "tayside", kAddressB);
  const Service late = MakeService("photos", "valtellina", kAddressB);
  records.push_back({"config/service/desk", 12, 12,
                     EncodeStored("op", holder, {{kAddressB, 11}})});
  records.push_back({"config/service/photos", 13, 13,
                     EncodeStored("op", late, {{kAddressB, 9}})});
  const BuiltSnapshot built = BuildSnapshot(records, 13);
  CHECK(built.snapshot->services.at("desk").addresses.size() == 1);
  CHECK(built.snapshot->services.at("photos").addresses.empty());
}

TEST_CASE("a service loses a server that now belongs to another organisation") {
  std::vector<ObjectRecord> records = BaseRecords();
  records.push_back(Record(MakeServer("own", "tayside", {0x0a000110, 1}), 9));
  records.erase(records.begin() + 4);
  const BuiltSnapshot built = BuildSnapshot(records, 9);
  const Service& service = built.snapshot->services.at("dispatch");
  REQUIRE(service.servers.size() == 1);
  CHECK(service.servers[0].server == "shared");
  REQUIRE(built.problems.size() == 1);
  CHECK(built.problems[0].error.code == ResultCode::kForbidden);
}

TEST_CASE("a builder with cached objects builds the same as a new builder") {
  SnapshotBuilder builder;
  std::vector<ObjectRecord> records = BaseRecords();
  builder.Build(records, 7);
  records[2] = Record(AvailabilityZone{"tirano", ZoneState::kOut}, 8);
  records.erase(records.begin() + 5);
  const BuiltSnapshot cached = builder.Build(records, 9);
  const BuiltSnapshot uncached = BuildSnapshot(records, 9);
  CHECK(cached.snapshot->zones == uncached.snapshot->zones);
  CHECK(cached.snapshot->servers == uncached.snapshot->servers);
  CHECK(cached.snapshot->services == uncached.snapshot->services);
  CHECK(cached.snapshot->zones.at("tirano").state == ZoneState::kOut);
}

TEST_CASE("an address of another service or backend server cannot be used") {
  CHECK(ValidateWrite(MakeService("desk", "tayside", kAddressB)).empty());
  CHECK(ValidateWrite(MakeService("desk", "tayside", kAddressA)) ==
        std::vector{ResultCode::kAddressClaimed});
  CHECK(ValidateWrite(MakeService("desk", "tayside", kServerAddress)) ==
        std::vector{ResultCode::kAddressClaimed});
  CHECK(ValidateWrite(MakeServer("new", "", kAddressA)) ==
        std::vector{ResultCode::kAddressClaimed});
}

TEST_CASE("references must exist and stay within the organisation") {
  Service service = MakeService("desk", "tayside", kAddressB);
  service.servers = {{"shared", 1}, {"desk1", 1}};
  CHECK(ValidateWrite(service).empty());
  service.servers = {{"own", 1}, {"nowhere", 1}};
  service.organisation = "nobody";
  CHECK(ValidateWrite(service) == std::vector{ResultCode::kBrokenReference,
                                              ResultCode::kForbidden,
                                              ResultCode::kBrokenReference});
  BackendServer server = MakeServer("new", "", kAddressB);
  server.zone = "nowhere";
  CHECK(ValidateWrite(server) == std::vector{ResultCode::kBrokenReference});
}

TEST_CASE("a resource that others refer to cannot be deleted") {
  using enum ResourceKind;
  CHECK(Validate({kZone, "tirano"}, {}).size() == 3);
  CHECK(Validate({kServer, "own"}, {}) ==
        std::vector{ResultCode::kStillReferenced});
  CHECK(Validate({kOrganisation, "tayside"}, {}) ==
        std::vector{ResultCode::kStillReferenced});
  CHECK(Validate({kServer, "desk1"}, {}).empty());
  CHECK(Validate({kService, "dispatch"}, {}).empty());
}

// If a server could move to another zone, its flows would not be given up when
// operators take its old zone out of service.
TEST_CASE("the zone of a backend server is immutable") {
  std::vector<ObjectRecord> records = BaseRecords();
  records.push_back(Record(AvailabilityZone{"sondrio"}, 8));
  const BuiltSnapshot built = BuildSnapshot(records, 8);
  BackendServer server = MakeServer("own", "valtellina", {0x0a000102, 9000});
  server.zone = "sondrio";
  const auto errors = ValidateChange(*built.snapshot, {IdOf(server), server});
  REQUIRE(errors.size() == 1);
  CHECK(errors[0].code == ResultCode::kInvalidField);
  CHECK(errors[0].field == "zone");
}

TEST_CASE("organisation and address of a backend server are immutable") {
  BackendServer server = MakeServer("own", "valtellina", {0x0a000102, 9000});
  server.state = ServerState::kDraining;
  CHECK(ValidateWrite(server).empty());
  server.address = kAddressB;
  server.organisation = "";
  CHECK(ValidateWrite(server) ==
        std::vector{ResultCode::kInvalidField, ResultCode::kInvalidField});
}

}  // namespace
}  // namespace gcw::config
