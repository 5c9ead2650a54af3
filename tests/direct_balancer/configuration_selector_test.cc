#include "src/direct_balancer/configuration_selector.h"

#include <catch2/catch.hpp>

namespace gcw::direct_balancer {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);

// A configuration with the operators' `number`, which the store holds in
// `epoch` as its change `revision`.
StoredConfiguration Stored(direct::Version number,
                           StoreEpoch epoch,
                           std::uint64_t revision) {
  StoredConfiguration stored;
  stored.configuration.version = number;
  stored.object.version = MakeStoreVersion(epoch, revision);
  return stored;
}

direct::Version InForce(const ConfigurationSelector& selector) {
  REQUIRE(selector.in_force() != nullptr);
  return selector.in_force()->configuration.version;
}

// A restored store holds an older configuration until the operators have
// written theirs again. A confirmed configuration must not go out of force
// meanwhile.
TEST_CASE("a configuration that a restore brought back is not put in force") {
  ConfigurationSelector selector;
  REQUIRE(selector.OnStored(Stored(4, 1, 21), kStart));
  REQUIRE(selector.OnStored(Stored(9, 1, 23), kStart));
  for (StoreEpoch epoch = 2; epoch < 4; ++epoch) {
    CHECK_FALSE(selector.OnStored(Stored(4, epoch, 21), kStart));
    CHECK(selector.retained());
    CHECK_FALSE(selector.OnTick(kStart + absl::Hours(1)));
    CHECK(InForce(selector) == 9);
  }
  // The operators write their configuration again, and then go on.
  CHECK(selector.OnStored(Stored(9, 3, 22), kStart));
  CHECK_FALSE(selector.retained());
  CHECK(selector.OnStored(Stored(10, 3, 23), kStart));
  CHECK(InForce(selector) == 10);
}

TEST_CASE("without a restore the store's latest configuration is in force") {
  ConfigurationSelector selector;
  REQUIRE(selector.OnStored(Stored(4, 1, 21), kStart));
  REQUIRE(selector.OnStored(Stored(9, 1, 22), kStart));
  CHECK(selector.OnStored(Stored(0, 1, 23), kStart));
  CHECK(InForce(selector) == 0);
}

// A change that reached a daemon but was never confirmed to the operators may
// be lost in a restore. What they write then, under a lower number, was
// confirmed and ignored for good.
TEST_CASE("a lower number that is written after a restore is put in force") {
  ConfigurationSelector selector;
  REQUIRE(selector.OnStored(Stored(4, 1, 21), kStart));
  REQUIRE(selector.OnStored(Stored(11, 1, 22), kStart));
  REQUIRE_FALSE(selector.OnStored(Stored(4, 2, 21), kStart));
  CHECK_FALSE(selector.OnStored(Stored(7, 2, 22), kStart));
  SECTION("after a short time") {
    CHECK_FALSE(selector.OnTick(kStart + absl::Seconds(1)));
    CHECK(selector.OnTick(kStart + absl::Milliseconds(2100)));
    CHECK(InForce(selector) == 7);
    CHECK(selector.OnStored(Stored(8, 2, 23), kStart));
  }
  SECTION("unless operators write all their changes again, one by one") {
    CHECK_FALSE(selector.OnStored(Stored(9, 2, 23), kStart));
    CHECK(selector.OnStored(Stored(11, 2, 24), kStart));
    CHECK_FALSE(selector.OnTick(kStart + absl::Seconds(3)));
    CHECK(InForce(selector) == 11);
  }
  SECTION("unless the store is restored again") {
    CHECK_FALSE(selector.OnStored(Stored(4, 3, 21), kStart));
    CHECK_FALSE(selector.OnTick(kStart + absl::Seconds(3)));
    CHECK(InForce(selector) == 11);
  }
}

// A daemon that starts after a restore finds only the copy in the store, and
// served it.
TEST_CASE("a later configuration that a peer has in force replaces the copy") {
  ConfigurationSelector selector;
  const relay::Version copy = MakeStoreVersion(2, 21);
  SECTION("told after the copy was read") {
    REQUIRE(selector.OnStored(Stored(4, 2, 21), kStart));
    CHECK(selector.OnRetained(Stored(9, 1, 23), copy));
  }
  SECTION("told before the copy is read") {
    CHECK(selector.OnRetained(Stored(9, 1, 23), copy));
    CHECK_FALSE(selector.OnStored(Stored(4, 2, 21), kStart));
  }
  CHECK(InForce(selector) == 9);
  CHECK(selector.retained());
  CHECK_FALSE(selector.OnRetained(Stored(9, 1, 23), copy));
  CHECK(selector.OnStored(Stored(12, 2, 22), kStart));
  CHECK(InForce(selector) == 12);
}

// What a peer tells may be older than what this daemon has read.
TEST_CASE("a retained configuration does not replace what was written since") {
  ConfigurationSelector selector;
  const relay::Version copy = MakeStoreVersion(2, 21);
  SECTION("under a higher number") {
    REQUIRE(selector.OnStored(Stored(12, 2, 22), kStart));
  }
  SECTION("under a lower number") {
    REQUIRE(selector.OnStored(Stored(7, 2, 22), kStart));
  }
  const direct::Version before = InForce(selector);
  CHECK_FALSE(selector.OnRetained(Stored(9, 1, 23), copy));
  CHECK(InForce(selector) == before);
}

// If an answer had revisions that the restored store has not given out yet, all
// later answers were ignored as stale, with the changes in them.
TEST_CASE("a stale answer counts only if its number was never seen before") {
  ConfigurationSelector selector;
  REQUIRE(selector.OnStored(Stored(9, 2, 23), kStart));
  CHECK_FALSE(selector.OnStale(Stored(4, 2, 21)));
  CHECK_FALSE(selector.OnStale(Stored(9, 2, 22)));
  CHECK(selector.OnStale(Stored(11, 2, 22)));
  CHECK(InForce(selector) == 11);
  // Operators go back, and an old answer arrives late.
  REQUIRE(selector.OnStored(Stored(5, 2, 24), kStart));
  CHECK_FALSE(selector.OnStale(Stored(11, 2, 22)));
  CHECK(InForce(selector) == 5);
}

}  // namespace
}  // namespace gcw::direct_balancer
