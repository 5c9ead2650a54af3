#include "gcw/platform/conditional_write.h"

#include <fmt/format.h>
#include <catch2/catch.hpp>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "src/fake_platform/store.h"

namespace gcw::platform {
namespace {

using fake_platform::Store;
using nlohmann::json;

constexpr char kKey[] = "config/zone/a";

Error MakeError(ResultCode code) {
  return {code, "", "injected"};
}

// Client of a Store in the same process that injects random faults: lost
// answers, lost calls, writes that reach the store after the call has timed
// out, and a second writer that changes the object between calls. A late update
// may arrive at any time. A late creation, which is not conditional on a
// version, arrives before the next call, as ConditionalWrite assumes.
class FaultyClient : public PlatformClient {
 public:
  FaultyClient(Store* store, std::uint64_t seed)
      : store_(store), random_(seed) {}

  Result<Listing> List(std::string_view prefix) override {
    return store_->List(prefix);
  }
  Result<Object> Get(std::string_view key) override {
    InjectConcurrentWrites();
    if (DrawEvent(0.1)) {
      return MakeError(ResultCode::kPlatformUnavailable);
    }
    return store_->Get(key);
  }
  Result<Version> Put(std::string_view key,
                      std::string_view value,
                      Version if_version) override {
    InjectConcurrentWrites();
    const auto run = [=, this, key = std::string(key),
                      value = std::string(value)] {
      return store_->Put(key, value, if_version);
    };
    return Write(run, if_version == 0);
  }
  Result<Version> Delete(std::string_view key, Version if_version) override {
    InjectConcurrentWrites();
    const auto run = [=, this, key = std::string(key)] {
      return store_->Delete(key, if_version);
    };
    return Write(run, false);
  }
  Result<WatchAnswer> Watch(std::string_view prefix,
                            Version after,
                            absl::Duration) override {
    if (DrawEvent(0.1)) {
      return MakeError(ResultCode::kPlatformUnavailable);
    }
    return store_->EventsAfter(prefix, after);
  }
  Result<std::vector<Vm>> Vms() override { return std::vector<Vm>{}; }
  StoreEpoch epoch() const override { return store_->epoch(); }

  // Applies the late writes that have not yet reached the store.
  void DeliverLateWrites() {
    for (const auto& run : late_writes_) {
      run().ok();
    }
    late_writes_.clear();
    has_late_creation_ = false;
  }

  // Probability that the second writer changes the object before a call.
  double other_writer_probability = 0;

 private:
  using Run = std::function<Result<Version>()>;

  Result<Version> Write(const Run& run, bool is_creation) {
    if (DrawEvent(0.1)) {
      return MakeError(ResultCode::kPlatformUnavailable);
    }
    if (DrawEvent(0.1)) {
      return MakeError(ResultCode::kPlatformRateLimited);
    }
    if (DrawEvent(0.1)) {
      late_writes_.push_back(run);
      has_late_creation_ = has_late_creation_ || is_creation;
      return MakeError(ResultCode::kPlatformOutcomeUnknown);
    }
    Result<Version> version = run();
    if (DrawEvent(0.2)) {
      return MakeError(ResultCode::kPlatformOutcomeUnknown);
    }
    return version;
  }

  void InjectConcurrentWrites() {
    if (has_late_creation_ || DrawEvent(0.3)) {
      DeliverLateWrites();
    }
    if (!DrawEvent(other_writer_probability)) {
      return;
    }
    const Version version = store_->VersionOf(kKey);
    if (version != 0 && DrawEvent(0.3)) {
      CHECK(store_->Delete(kKey, version).ok());
    } else {
      const json value = {{"op", fmt::format("other-{}", ++other_ops_)}};
      CHECK(store_->Put(kKey, value.dump(), version).ok());
    }
  }

  bool DrawEvent(double probability) {
    return std::bernoulli_distribution(probability)(random_);
  }

  Store* store_;
  std::mt19937_64 random_;
  std::vector<Run> late_writes_;
  bool has_late_creation_ = false;
  int other_ops_ = 0;
};

// Returns how many events of the log each operation id has, deletions aside.
std::map<std::string, int> CountOperations(const Store& store) {
  std::map<std::string, int> counts;
  const Result<WatchAnswer> events = store.EventsAfter("", 0);
  REQUIRE(events.ok());
  for (const WatchEvent& event : events.value().events) {
    if (!event.deleted) {
      ++counts[OperationIdOf(event.object.value)];
    }
  }
  return counts;
}

// Returns a write that sets the object's value at any version.
WriteRequest OverwriteRequest(const std::string& op) {
  return {.key = kKey, .op = op, .intent = [op](const Object*) {
            return DesiredState{json({{"op", op}}).dump()};
          }};
}

WriteOptions FastOptions() {
  return {.backoff = {absl::Microseconds(1), absl::Microseconds(2)},
          .time_limit = absl::Seconds(20)};
}

TEST_CASE("an accepted write is in the log once, a failed one at most once") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    Store store(1'000'000);
    FaultyClient client(&store, seed);
    client.other_writer_probability = 0.3;
    ConditionalWriter writer(&client, FastOptions(), seed);
    std::map<std::string, Result<WriteOutcome>> outcomes;
    for (int i = 0; i < 1000; ++i) {
      const std::string op = fmt::format("op-{}", i);
      WriteRequest request = OverwriteRequest(op);
      request.base_revision = store.revision();
      outcomes.emplace(op, writer.Write(std::move(request)));
    }
    client.DeliverLateWrites();
    std::map<std::string, int> counts = CountOperations(store);
    int accepted = 0;
    for (const auto& [op, outcome] : outcomes) {
      INFO("seed " << seed << " " << op);
      CHECK(counts[op] <= 1);
      CHECK((outcome.ok() ? counts[op] == 1 : true));
      accepted += outcome.ok() ? 1 : 0;
    }
    CHECK(accepted == 1000);
  }
}

TEST_CASE("the outcome has the version that the write has in the log") {
  Store store(1'000'000);
  FaultyClient client(&store, 9);
  client.other_writer_probability = 0.3;
  ConditionalWriter writer(&client, FastOptions(), 9);
  std::map<std::string, Version> versions;
  int recognized = 0;
  int superseded = 0;
  for (int i = 0; i < 1000; ++i) {
    const std::string op = fmt::format("op-{}", i);
    const Result<WriteOutcome> outcome = writer.Write(OverwriteRequest(op));
    REQUIRE(outcome.ok());
    versions[op] = outcome.value().version;
    recognized += outcome.value().recognized ? 1 : 0;
    superseded += outcome.value().superseded ? 1 : 0;
  }
  // The injected faults did occur.
  CHECK(recognized > 50);
  CHECK(superseded > 5);
  const WatchAnswer log = store.EventsAfter("", 0).value();
  for (const WatchEvent& event : log.events) {
    const std::string op = OperationIdOf(event.object.value);
    if (versions.contains(op)) {
      CHECK(versions[op] == event.object.version);
    }
  }
}

TEST_CASE("a deletion removes the object of the given creation") {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    Store store(1'000'000);
    FaultyClient client(&store, seed);
    const Version created = store.Put(kKey, R"({"op":"x"})", 0).value();
    client.other_writer_probability = 0.2;
    ConditionalWriter writer(&client, FastOptions(), seed);
    const Result<WriteOutcome> outcome = writer.Write(
        {.key = kKey,
         .op = "delete",
         .intent = [&](const Object* current) -> Result<DesiredState> {
           if (current == nullptr || current->created != created) {
             return MakeError(ResultCode::kNotFound);
           }
           return DesiredState{};
         }});
    INFO("seed " << seed);
    const Result<Object> object = store.Get(kKey);
    const bool is_gone = !object.ok() || object.value().created != created;
    CHECK(is_gone);
    CHECK((outcome.ok() || outcome.error().code == ResultCode::kNotFound));
  }
}

TEST_CASE("an intent that no longer holds is refused and nothing is written") {
  Store store(100);
  const Version first = store.Put(kKey, R"({"op":"a"})", 0).value();
  REQUIRE(store.Put(kKey, R"({"op":"b"})", first).ok());
  FaultyClient client(&store, 1);
  ConditionalWriter writer(&client, FastOptions(), 1);
  const Result<WriteOutcome> outcome = writer.Write(
      {.key = kKey,
       .op = "c",
       .intent = [&](const Object* current) -> Result<DesiredState> {
         if (current->version != first) {
           return MakeError(ResultCode::kVersionConflict);
         }
         return DesiredState{R"({"op":"c"})"};
       }});
  REQUIRE_FALSE(outcome.ok());
  CHECK(outcome.error().code == ResultCode::kVersionConflict);
  CHECK(store.revision() == 2);
}

// The answer to a write is lost and another writer changes the object. The
// caller then retries with the same operation id, which must be found in the
// events.
TEST_CASE("a repeated operation is found although a later write followed") {
  Store store(100);
  const Version first = store.Put(kKey, R"({"op":"a"})", 0).value();
  const Version second = store.Put(kKey, R"({"op":"b"})", first).value();
  REQUIRE(store.Put(kKey, R"({"op":"c"})", second).ok());
  FaultyClient client(&store, 1);
  ConditionalWriter writer(&client, FastOptions(), 1);
  const auto intent = [&](const Object* current) -> Result<DesiredState> {
    if (current->version != first) {
      return MakeError(ResultCode::kVersionConflict);
    }
    return DesiredState{R"({"op":"b"})"};
  };
  const Result<WriteOutcome> outcome = writer.Write({.key = kKey,
                                                     .op = "b",
                                                     .intent = intent,
                                                     .may_be_repeat = true,
                                                     .repeat_after = first});
  REQUIRE(outcome.ok());
  CHECK(outcome.value() == WriteOutcome{second, true, true});
  const Result<WriteOutcome> other = writer.Write({.key = kKey,
                                                   .op = "d",
                                                   .intent = intent,
                                                   .may_be_repeat = true,
                                                   .repeat_after = first});
  CHECK(other.error().code == ResultCode::kVersionConflict);
}

// A caller that got no answer sends its operation again through another
// process, while other writers change the object. The operation must not be
// made twice.
TEST_CASE("an operation sent three times for any version is made once") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    Store store(1'000'000);
    REQUIRE(store.Put(kKey, R"({"op":"start"})", 0).ok());
    FaultyClient client(&store, seed);
    client.other_writer_probability = 0.3;
    std::set<std::string> accepted;
    for (int i = 0; i < 200; ++i) {
      const std::string op = fmt::format("op-{}", i);
      const Version before = store.revision();
      for (std::uint64_t process = 0; process < 3; ++process) {
        ConditionalWriter writer(&client, FastOptions(), seed + process);
        WriteRequest request = OverwriteRequest(op);
        request.base_revision = store.revision();
        request.may_be_repeat = true;
        request.repeat_after = before;
        request.search_events_first = true;
        if (writer.Write(std::move(request)).ok()) {
          accepted.insert(op);
        }
      }
    }
    client.DeliverLateWrites();
    std::map<std::string, int> counts = CountOperations(store);
    CHECK(accepted.size() == 200);
    for (const std::string& op : accepted) {
      INFO("seed " << seed << " " << op);
      CHECK(counts[op] == 1);
    }
  }
}

// Returns a write that creates the object and fails if it exists.
WriteRequest CreateRequest() {
  return {.key = kKey,
          .op = "mine",
          .intent = [](const Object* current) -> Result<DesiredState> {
            if (current != nullptr) {
              return MakeError(ResultCode::kVersionConflict);
            }
            return DesiredState{R"({"op":"mine"})"};
          }};
}

// The answer to a creation is lost, then another writer deletes the object. The
// creation must be found in the events and must not be made a second time.
TEST_CASE("a creation that was made and deleted is not made again") {
  const absl::Time now = absl::UnixEpoch();
  ConditionalWrite write(CreateRequest(), FastOptions(), 1, now);
  CHECK(std::holds_alternative<ReadObject>(write.Start()));
  WriteStep step = write.OnObject(MakeError(ResultCode::kNotFound), now);
  CHECK(std::get<PutObject>(step).if_version == 0);
  step = write.OnWritten(MakeError(ResultCode::kPlatformOutcomeUnknown), now);
  CHECK(std::holds_alternative<Pause>(step));
  CHECK(std::holds_alternative<ReadObject>(write.OnPaused(now)));
  step = write.OnObject(MakeError(ResultCode::kNotFound), now);
  CHECK(std::holds_alternative<ReadEvents>(step));
  WatchAnswer answer{2, {{{kKey, 1, 1, R"({"op":"mine"})"}, false}}};
  step = write.OnEvents(answer, now);
  CHECK(std::get<Finish>(step).result.value() == WriteOutcome{1, true, true});
}

// A restore gives every object new versions. A deletion whose answer was lost
// was reported as made, although the restored platform has the object.
TEST_CASE("an unanswered deletion is not taken as made because of a restore") {
  const absl::Time now = absl::UnixEpoch();
  const auto object = [](StoreEpoch epoch) {
    return Object{kKey, MakeStoreVersion(epoch, 7), MakeStoreVersion(epoch, 5),
                  R"({"op":"x"})"};
  };
  const WriteRequest request = {
      .key = kKey, .op = "delete", .intent = [](const Object*) {
        return Result<DesiredState>(DesiredState{});
      }};
  ConditionalWrite write(request, FastOptions(), 1, now);
  write.Start();
  write.OnObject(object(0), now);
  write.OnWritten(MakeError(ResultCode::kPlatformOutcomeUnknown), now);
  write.OnPaused(now);
  const WriteStep step = write.OnObject(object(1), now);
  REQUIRE(std::holds_alternative<DeleteObject>(step));
  CHECK(std::get<DeleteObject>(step).if_version == object(1).version);
}

// The platform may have made the write before it was restored and lost it, or
// it may make it yet.
TEST_CASE("an unanswered write before a restore has an unknown outcome") {
  Store store(100);
  REQUIRE(store.Put(kKey, R"({"op":"first"})", 0).ok());
  const absl::Time now = absl::UnixEpoch();
  ConditionalWrite write(OverwriteRequest("op"), FastOptions(), 1, now);
  write.Start();
  write.OnObject(store.Get(kKey), now);
  write.OnWritten(MakeError(ResultCode::kPlatformOutcomeUnknown), now);
  write.OnPaused(now);
  Object restored = store.Get(kKey).value();
  restored.version = MakeStoreVersion(1, restored.version);
  const WriteStep search = write.OnObject(restored, now);
  REQUIRE(std::holds_alternative<ReadEvents>(search));
  // The client answers a watch of a version from before a restore like this.
  const WriteStep end =
      write.OnEvents(MakeError(ResultCode::kPlatformCompacted), now);
  CHECK(std::get<Finish>(end).result.error().code ==
        ResultCode::kPlatformOutcomeUnknown);
}

TEST_CASE("a write that cannot be verified has an unknown outcome") {
  const absl::Time now = absl::UnixEpoch();
  ConditionalWrite write(CreateRequest(), FastOptions(), 1, now);
  write.Start();
  write.OnObject(MakeError(ResultCode::kNotFound), now);
  write.OnWritten(MakeError(ResultCode::kPlatformOutcomeUnknown), now);
  write.OnPaused(now);
  write.OnObject(MakeError(ResultCode::kNotFound), now);
  SECTION("the events are compacted") {
    const WriteStep step =
        write.OnEvents(MakeError(ResultCode::kPlatformCompacted), now);
    CHECK(std::get<Finish>(step).result.error().code ==
          ResultCode::kPlatformOutcomeUnknown);
  }
  SECTION("the platform stays unavailable") {
    const WriteStep step =
        write.OnEvents(MakeError(ResultCode::kPlatformUnavailable),
                       now + FastOptions().time_limit);
    CHECK(std::get<Finish>(step).result.error().code ==
          ResultCode::kPlatformOutcomeUnknown);
  }
}

TEST_CASE("an outage beyond the time limit is unavailable, not unknown") {
  const absl::Time now = absl::UnixEpoch();
  ConditionalWrite write(CreateRequest(), FastOptions(), 1, now);
  write.Start();
  const WriteStep step =
      write.OnObject(MakeError(ResultCode::kPlatformUnavailable),
                     now + FastOptions().time_limit);
  CHECK(std::get<Finish>(step).result.error().code ==
        ResultCode::kPlatformUnavailable);
}

TEST_CASE("backoff pauses grow, stay in bounds and differ between callers") {
  const BackoffOptions options{absl::Milliseconds(10), absl::Milliseconds(80)};
  Backoff one(options, 1);
  Backoff two(options, 2);
  int different = 0;
  absl::Duration bound = options.initial_pause;
  for (int i = 0; i < 6; ++i) {
    const absl::Duration pause = one.Next();
    CHECK(pause >= bound / 2);
    CHECK(pause <= bound);
    different += pause != two.Next() ? 1 : 0;
    bound = std::min(bound * 2, options.max_pause);
  }
  CHECK(different > 0);
  one.Reset();
  CHECK(one.Next() <= options.initial_pause);
}

// Runs a write that loses the race against another writer with probability 3/4
// at each attempt, however long the pauses are. Time is simulated: a pause
// takes no real time.
Result<WriteOutcome> WriteWithFasterWriter(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  WriteRequest request;
  request.key = kKey;
  request.op = std::string("op");
  request.intent = [](const Object*) -> Result<DesiredState> {
    return DesiredState{R"({"op":"op"})"};
  };
  ConditionalWrite write(std::move(request), {}, seed, now);
  Version version = 1;
  WriteStep step = write.Start();
  while (!std::holds_alternative<Finish>(step)) {
    now += absl::Milliseconds(1);
    if (const auto* pause = std::get_if<Pause>(&step)) {
      now += pause->duration;
      step = write.OnPaused(now);
    } else if (std::holds_alternative<ReadObject>(step)) {
      step = write.OnObject(Object{kKey, version, 1, "{}"}, now);
    } else if (random() % 4 == 0) {
      step = write.OnWritten(Result<Version>(version + 1), now);
    } else {
      ++version;
      step = write.OnWritten(MakeError(ResultCode::kPlatformConflict), now);
    }
  }
  return std::get<Finish>(std::move(step)).result;
}

TEST_CASE(
    "a write succeeds although another writer is faster most of the time") {
  int given_up = 0;
  for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
    given_up += WriteWithFasterWriter(seed).ok() ? 0 : 1;
  }
  CHECK(given_up == 0);
}

}  // namespace
}  // namespace gcw::platform
