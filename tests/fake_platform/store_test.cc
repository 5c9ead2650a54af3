#include "src/fake_platform/store.h"

#include <catch2/catch.hpp>
#include <string>

#include "src/fake_platform/fault_injector.h"

namespace gcw::fake_platform {
namespace {

TEST_CASE("writes are conditional and share one version counter") {
  Store store(100);
  CHECK(store.Put("a", "1", 0).value() == 1);
  CHECK(store.Put("b", "2", 0).value() == 2);
  CHECK(store.Put("a", "3", 0).error().code == ResultCode::kPlatformConflict);
  CHECK(store.Put("a", "3", 1).value() == 3);
  CHECK(store.Get("a").value().created == 1);
  CHECK(store.Delete("a", 1).error().code == ResultCode::kPlatformConflict);
  CHECK(store.Delete("a", 3).value() == 4);
  CHECK(store.Delete("a", 4).error().code == ResultCode::kNotFound);
  CHECK(store.Put("a", "5", 0).value() == 5);
  CHECK(store.Get("a").value().created == 5);
  CHECK(store.List("").revision == 5);
  CHECK(store.List("b").objects.size() == 1);
}

TEST_CASE("invalid values are refused without effect") {
  Store store(100);
  CHECK(store.Put("a", "{", 0).error().code == ResultCode::kMalformedJson);
  const std::string large = "\"" + std::string(kMaxStoredBytes, 'x') + "\"";
  CHECK(store.Put("a", large, 0).error().code == ResultCode::kTooLarge);
  CHECK(store.revision() == 0);
}

TEST_CASE("events are in order and include deletions, until compacted") {
  Store store(3);
  REQUIRE(store.Put("x/a", "1", 0).ok());
  REQUIRE(store.Put("y", "1", 0).ok());
  REQUIRE(store.Delete("x/a", 1).ok());
  const Result<WatchAnswer> all = store.EventsAfter("x/", 0);
  REQUIRE(all.ok());
  REQUIRE(all.value().events.size() == 2);
  CHECK_FALSE(all.value().events[0].deleted);
  CHECK(all.value().events[1].deleted);
  CHECK(all.value().events[1].object.version == 3);
  REQUIRE(store.Put("y", "2", 2).ok());
  CHECK(store.EventsAfter("", 0).error().code ==
        ResultCode::kPlatformCompacted);
  CHECK(store.EventsAfter("", 1).value().events.size() == 3);
  store.Compact();
  CHECK_FALSE(store.EventsAfter("", 3).ok());
  CHECK(store.EventsAfter("", 4).value().events.empty());
}

TEST_CASE("a restored store has lost later changes and reuses their versions") {
  Store store(100);
  REQUIRE(store.Put("a", "1", 0).ok());
  const Store copy = store;
  REQUIRE(store.Put("b", "2", 0).ok());
  REQUIRE(store.Put("a", "3", 1).ok());
  store.RestoreFrom(copy);
  CHECK(store.epoch() == 1);
  CHECK(store.revision() == 1);
  CHECK(store.Get("a").value().value == "1");
  CHECK_FALSE(store.Get("b").ok());
  CHECK(store.EventsAfter("", 3).error().code ==
        ResultCode::kPlatformCompacted);
  CHECK(store.Put("b", "4", 0).value() == 2);
  CHECK(store.EventsAfter("", 1).value().events.size() == 1);
  store.RestoreFrom(copy);
  CHECK(store.epoch() == 2);
}

TEST_CASE("calls beyond the rate limit are refused until tokens refill") {
  FaultInjector faults({.reads_per_second = 2, .writes_per_second = 1}, 1);
  const absl::Time start = absl::FromUnixSeconds(1000);
  const auto decide = [&](CallKind kind, absl::Duration at) {
    return faults.Decide(kind, 1, start + at).kind;
  };
  using enum FaultDecision::Kind;
  CHECK(decide(CallKind::kPut, absl::ZeroDuration()) == kServe);
  CHECK(decide(CallKind::kDelete, absl::ZeroDuration()) == kRateLimited);
  CHECK(decide(CallKind::kGet, absl::ZeroDuration()) == kServe);
  CHECK(decide(CallKind::kWatch, absl::ZeroDuration()) == kServe);
  CHECK(decide(CallKind::kList, absl::ZeroDuration()) == kRateLimited);
  CHECK(decide(CallKind::kPut, absl::Milliseconds(1100)) == kServe);
}

TEST_CASE("a partition affects one client, an outage all clients") {
  FaultInjector faults({}, 1);
  const absl::Time now = absl::FromUnixSeconds(1000);
  faults.SetPartitioned(7, true);
  CHECK(faults.Decide(CallKind::kGet, 7, now).kind ==
        FaultDecision::Kind::kNoAnswer);
  CHECK(faults.Decide(CallKind::kGet, 8, now).kind ==
        FaultDecision::Kind::kServe);
  faults.SetPartitioned(7, false);
  CHECK(faults.Decide(CallKind::kGet, 7, now).kind ==
        FaultDecision::Kind::kServe);
  faults.set_outage(Outage::kRefusing);
  CHECK(faults.Decide(CallKind::kGet, 8, now).kind ==
        FaultDecision::Kind::kUnavailable);
}

TEST_CASE("only answers to writes are lost, with the set probability") {
  FaultInjector faults({.reads_per_second = 1e9, .writes_per_second = 1e9}, 3);
  faults.set_lost_answers(0.1);
  const absl::Time now = absl::FromUnixSeconds(1000);
  int lost = 0;
  for (int i = 0; i < 10'000; ++i) {
    CHECK_FALSE(faults.Decide(CallKind::kGet, 1, now).lose_answer);
    lost += faults.Decide(CallKind::kPut, 1, now).lose_answer ? 1 : 0;
  }
  CHECK(lost > 850);
  CHECK(lost < 1150);
}

}  // namespace
}  // namespace gcw::fake_platform
