#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>
#include <thread>
#include <vector>

#include "absl/time/clock.h"
#include "gcw/config/codec.h"
#include "gcw/config/snapshot_builder.h"
#include "gcw/platform/conditional_write.h"
#include "src/api/claims.h"
#include "tests/api/api_fixture.h"

namespace gcw::api {
namespace {

constexpr char kService[] = "/v1/services/dispatch";

// What the API answered to the writes of one operator.
struct WriteAnswers {
  // The version of each accepted write, by the value that was written.
  std::map<int, Version> accepted;
  // The statuses of the other writes.
  std::vector<int> refused;
};

// Makes `attempts` writes of distinct values from `first_value` on, each
// conditional on the version just read. A write that conflicts is not repeated.
// Checks nothing, since Catch2 allows checks on one thread only.
WriteAnswers RaceWrites(Operator op, int first_value, int attempts) {
  WriteAnswers answers;
  for (int i = 0; i < attempts; ++i) {
    const Reply read = op.Get(kService);
    if (read.status != 200) {
      continue;
    }
    json spec = read.body.at("spec");
    spec["limits"]["queue"] = first_value + i;
    const Reply reply = op.Put(kService, spec, read.version());
    if (reply.status == 200) {
      answers.accepted[first_value + i] = reply.version();
    } else {
      answers.refused.push_back(reply.status);
    }
  }
  return answers;
}

// Guards against lost and repeated writes: when an answer of the platform is
// lost, the API must find out whether the write was applied.
TEST_CASE("accepted writes among 1,000 racing ones are applied exactly once") {
  ApiFixture fixture;
  // The two operators use different API servers.
  const std::unique_ptr<ApiServer> second_api = fixture.MakeApi();
  Operator valtellina = fixture.MakeOperator(kValtellinaToken);
  REQUIRE(
      valtellina
          .Post("/v1/services", ApiFixture::ServiceSpec(
                                    "dispatch", "valtellina", "10.0.0.1:80"))
          .status == 201);
  const Version start = fixture.platform->revision();
  fixture.platform->SetLostAnswers(0.1);
  std::array<WriteAnswers, 2> answers;
  std::thread first([&] {
    answers[0] = RaceWrites(fixture.MakeOperator(kValtellinaToken), 1000, 500);
  });
  std::thread second([&] {
    answers[1] = RaceWrites(Operator(second_api->endpoint(), kValtellinaToken),
                            2000, 500);
  });
  first.join();
  second.join();

  std::map<Version, int> accepted_values;
  for (const WriteAnswers& of_operator : answers) {
    CHECK(of_operator.accepted.size() > 50);
    for (const auto& [value, version] : of_operator.accepted) {
      CHECK(accepted_values.emplace(version, value).second);
    }
    for (const int status : of_operator.refused) {
      CHECK(status == 412);
    }
  }
  // The values that the platform has stored, by version.
  std::map<Version, int> stored_values;
  const auto log =
      fixture.platform->EventsAfter("config/service/dispatch", start);
  REQUIRE(log.ok());
  for (const platform::WatchEvent& event : log.value().events) {
    const json value = json::parse(event.object.value);
    stored_values[event.object.version] =
        value.at("spec").at("limits").at("queue");
  }
  CHECK(accepted_values == stored_values);
}

TEST_CASE("of several concurrent claims of one address exactly one succeeds") {
  ApiFixture fixture;
  fixture.platform->SetLostAnswers(0.1);
  constexpr int kRounds = 15;
  constexpr int kRacers = 4;
  for (int round = 0; round < kRounds; ++round) {
    const std::string address = fmt::format("10.0.9.{}:80", round + 1);
    std::vector<int> statuses(kRacers);
    std::vector<std::thread> racers;
    for (int i = 0; i < kRacers; ++i) {
      racers.emplace_back([&, i] {
        const bool is_valtellina = i % 2 == 0;
        Operator op = fixture.MakeOperator(is_valtellina ? kValtellinaToken
                                                         : kTaysideToken);
        statuses[i] =
            op.Post("/v1/services",
                    ApiFixture::ServiceSpec(
                        fmt::format("s{}-{}", round, i),
                        is_valtellina ? "valtellina" : "tayside", address))
                .status;
      });
    }
    for (std::thread& racer : racers) {
      racer.join();
    }
    CHECK(std::count(statuses.begin(), statuses.end(), 201) == 1);
    CHECK(std::count(statuses.begin(), statuses.end(), 409) == kRacers - 1);
  }
  const platform::Listing listing = fixture.platform->List("config/");
  const config::BuiltSnapshot built =
      config::BuildSnapshot(listing.objects, listing.revision);
  CHECK(built.problems.empty());
  CHECK(built.snapshot->services.size() == kRounds);
}

constexpr int kStressServices = 3;
constexpr int kStressAddresses = 4;

std::string StressAddress(int i) {
  return fmt::format("10.0.8.{}:80", i + 1);
}

// Assigns random sets of addresses to services, without If-Match. Returns the
// statuses of the replies. Checks nothing, since Catch2 allows checks on one
// thread only.
std::vector<int> MoveAddresses(Operator op, std::uint64_t seed, int moves) {
  std::vector<int> statuses;
  std::mt19937_64 random(seed);
  for (int i = 0; i < moves; ++i) {
    json addresses = json::array();
    for (int j = 0; j < kStressAddresses; ++j) {
      if (random() % 3 == 0) {
        addresses.push_back(StressAddress(j));
      }
    }
    const std::string path =
        fmt::format("/v1/services/s{}", random() % kStressServices);
    statuses.push_back(op.Patch(path, {{"addresses", addresses}}).status);
  }
  return statuses;
}

// Replays the writes of all services in order, and checks that after each write
// no address belongs to two services.
void CheckNoAddressIsHeldTwice(
    const std::vector<platform::WatchEvent>& events) {
  std::map<std::string, json> services;
  for (const platform::WatchEvent& event : events) {
    const json value = json::parse(event.object.value);
    services[event.object.key] = value.at("spec").at("addresses");
    std::set<std::string> held;
    for (const auto& [key, addresses] : services) {
      for (const json& address : addresses) {
        INFO(key << " at version " << event.object.version);
        CHECK(held.insert(address.get<std::string>()).second);
      }
    }
  }
}

// Guards against a claim that is released while another writer still relies on
// it, so that two services hold the same address.
TEST_CASE("addresses that move between services are never held twice") {
  ApiFixture fixture;
  Operator valtellina = fixture.MakeOperator(kValtellinaToken);
  for (int i = 0; i < kStressServices; ++i) {
    json spec = ApiFixture::ServiceSpec(fmt::format("s{}", i), "valtellina",
                                        "10.0.0.1:80");
    spec["addresses"] = json::array();
    REQUIRE(valtellina.Post("/v1/services", spec).status == 201);
  }
  const Version start = fixture.platform->revision();
  fixture.platform->SetLostAnswers(0.1);
  constexpr std::size_t kOperators = 4;
  constexpr int kMoves = 60;
  std::vector<std::thread> operators;
  std::array<std::vector<int>, kOperators> statuses;
  for (std::size_t i = 0; i < kOperators; ++i) {
    operators.emplace_back([&, i] {
      statuses[i] =
          MoveAddresses(fixture.MakeOperator(kValtellinaToken), i + 1, kMoves);
    });
  }
  for (std::thread& op : operators) {
    op.join();
  }
  for (const std::vector<int>& of_operator : statuses) {
    CHECK(of_operator.size() == kMoves);
    for (const int status : of_operator) {
      CHECK((status == 200 || status == 409));
    }
  }
  const auto log = fixture.platform->EventsAfter("config/service/", start);
  REQUIRE(log.ok());
  CHECK(log.value().events.size() > 20);
  CheckNoAddressIsHeldTwice(log.value().events);
  // Each address that a service uses at the end is claimed by that service.
  const platform::Listing services = fixture.platform->List("config/service/");
  for (const platform::Object& object : services.objects) {
    const json value = json::parse(object.value);
    for (const json& address : value.at("spec").at("addresses")) {
      const auto claim =
          fixture.platform->Get("claim/" + address.get<std::string>());
      REQUIRE(claim.ok());
      CHECK(json::parse(claim.value().value).at("owner") == object.key);
    }
  }
}

std::string ClaimValue(const std::string& owner, absl::Time at) {
  return json(
             {{"op", "x"}, {"owner", owner}, {"at_ms", absl::ToUnixMillis(at)}})
      .dump();
}

TEST_CASE(
    "an orphaned claim is taken over, a recent one or one in use is not") {
  ApiFixture fixture;
  Operator valtellina = fixture.MakeOperator(kValtellinaToken);
  const auto create = [&](const std::string& name, const std::string& address) {
    return valtellina.Post(
        "/v1/services", ApiFixture::ServiceSpec(name, "valtellina", address));
  };
  const std::string owner = "config/service/gone";
  const absl::Time now = absl::Now();
  REQUIRE(fixture.platform
              ->Put("claim/10.0.0.1:80",
                    ClaimValue(owner, now - 2 * kClaimGracePeriod), 0)
              .ok());
  CHECK(create("a", "10.0.0.1:80").status == 201);
  REQUIRE(fixture.platform->Put("claim/10.0.0.2:80", ClaimValue(owner, now), 0)
              .ok());
  CHECK(create("b", "10.0.0.2:80").status == 409);
  REQUIRE(fixture.platform->Put("claim/10.0.0.3:80", "[7]", 0).ok());
  CHECK(create("c", "10.0.0.3:80").status == 201);

  // The claim is old, but its holder uses the address. Lists are stale and do
  // not show the holder, so only a read of the holder itself prevents the
  // takeover.
  fixture.platform->SaveStaleState();
  REQUIRE(create("d", "10.0.0.4:80").status == 201);
  const Version claim =
      fixture.platform->Get("claim/10.0.0.4:80").value().version;
  REQUIRE(fixture.platform
              ->Put("claim/10.0.0.4:80",
                    ClaimValue("config/service/d", now - 2 * kClaimGracePeriod),
                    claim)
              .ok());
  CHECK(create("e", "10.0.0.4:80").status == 409);
}

TEST_CASE("a failed write releases its new claims") {
  ApiFixture fixture;
  Operator valtellina = fixture.MakeOperator(kValtellinaToken);
  const json spec =
      ApiFixture::ServiceSpec("dispatch", "valtellina", "10.0.0.1:80");
  const Reply created = valtellina.Post("/v1/services", spec);
  REQUIRE(created.status == 201);
  json more = spec;
  more["addresses"] = {"10.0.0.1:80", "10.0.0.2:80", "10.1.0.1:9000"};
  CHECK(valtellina.Put(kService, more, created.version()).status == 409);
  CHECK(fixture.platform->List("claim/10.0.0.2").objects.empty());
  more["addresses"] = {"10.0.0.2:80"};
  const Reply moved = valtellina.Put(kService, more, created.version());
  REQUIRE(moved.status == 200);
  CHECK(fixture.platform->List("claim/10.0.0.1").objects.empty());
  // The address that the service gave up is free at once.
  CHECK(valtellina
            .Post("/v1/services", ApiFixture::ServiceSpec(
                                      "photos", "valtellina", "10.0.0.1:80"))
            .status == 201);
}

}  // namespace
}  // namespace gcw::api
