#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <thread>

#include "absl/time/clock.h"
#include "gcw/platform/http_platform_client.h"
#include "platform/object_format.h"
#include "platform/stand_in_form.h"
#include "src/fake_platform/fake_platform.h"
#include "tests/support/raw_server.h"
#include "tests/support/silent_proxy.h"

namespace gcw::adapter {
namespace {

using fake_platform::FakePlatform;
using fake_platform::Outage;
using platform::HttpPlatformClient;

constexpr std::uint32_t kLoopback = 0x7f000001;

std::unique_ptr<FakePlatform> MakePlatform(
    fake_platform::FakePlatformOptions options = {}) {
  options.listen = {kLoopback, 0};
  options.format = &ObjectForm();
  auto made = FakePlatform::Make(options);
  REQUIRE(made.ok());
  return std::move(made).value();
}

std::unique_ptr<HttpPlatformClient> MakeClient(const FakePlatform& platform) {
  return HttpPlatformClient::Make({.platform = platform.endpoint(),
                                   .bind_ip = kLoopback,
                                   .call_timeout = absl::Milliseconds(300),
                                   .keep_alive_interval = absl::Seconds(1),
                                   .format = &ObjectFormat()});
}

TEST_CASE("an object is replaced and deleted only at its current revision") {
  const auto platform = MakePlatform();
  const auto client = MakeClient(*platform);
  CHECK(client->Put("locks/leader", R"({"x":1})", 0).value() == 1);
  CHECK(client->Put("locks/leader", "{}", 0).error().code ==
        ResultCode::kPlatformConflict);
  CHECK(client->Get("locks/leader").value().value == R"({"x":1})");
  CHECK(client->Get("locks/none").error().code == ResultCode::kNotFound);
  CHECK(client->Put("locks/leader", R"({"x":2})", 1).value() == 2);
  CHECK(client->Delete("locks/leader", 1).error().code ==
        ResultCode::kPlatformConflict);
  CHECK(client->Delete("locks/leader", 2).ok());
}

// A connection may go silent for good while it is idle. The call on it would
// wait for its whole timeout.
TEST_CASE("a connection that was idle for long is not used again") {
  const auto platform = MakePlatform();
  test::SilentProxy proxy({kLoopback, 0}, platform->endpoint());
  const auto client =
      HttpPlatformClient::Make({.platform = proxy.endpoint(),
                                .bind_ip = kLoopback,
                                .call_timeout = absl::Seconds(2),
                                .max_idle = absl::Milliseconds(100),
                                .format = &ObjectFormat()});
  REQUIRE(client->List("servers/").ok());
  REQUIRE(client->List("servers/").ok());
  CHECK(proxy.accepted() == 1);
  absl::SleepFor(absl::Milliseconds(200));
  proxy.SilenceOpen();
  const absl::Time start = absl::Now();
  CHECK(client->List("servers/").ok());
  CHECK(absl::Now() - start < absl::Seconds(1));
  CHECK(proxy.accepted() == 2);
}

// The call that meets a silent connection fails in time; the next one is made
// on a connection of its own.
TEST_CASE("a call after one on a silent connection succeeds") {
  const auto platform = MakePlatform();
  test::SilentProxy proxy({kLoopback, 0}, platform->endpoint());
  const auto client =
      HttpPlatformClient::Make({.platform = proxy.endpoint(),
                                .bind_ip = kLoopback,
                                .call_timeout = absl::Milliseconds(300),
                                .format = &ObjectFormat()});
  REQUIRE(client->List("servers/").ok());
  proxy.SilenceOpen();
  CHECK_FALSE(client->List("servers/").ok());
  CHECK(client->List("servers/").ok());
}

TEST_CASE("a list is read in pages and has objects of one kind only") {
  const auto platform = MakePlatform({.page_size = 7});
  for (int i = 0; i < 30; ++i) {
    REQUIRE(
        platform->Put("servers/i-" + std::to_string(100 + i), "{}", 0).ok());
  }
  REQUIRE(platform->Put("config/main", "{}", 0).ok());
  const auto listing = MakeClient(*platform)->List("servers/");
  REQUIRE(listing.ok());
  CHECK(listing.value().objects.size() == 30);
  CHECK(listing.value().objects.back().key == "servers/i-129");
  CHECK(listing.value().revision == 31);
}

// Each page said that more follow, so the list never ended.
TEST_CASE("a list whose pages do not go on fails") {
  const std::string page = R"({"store_revision":7,"has_more":true,"items":[)"
                           R"({"meta":{"name":"a","revision":1},"spec":{}}]})";
  RawServer server([&](RawServer::Connection& connection) {
    while (!connection.ReadHead().empty() &&
           connection.Write("HTTP/1.1 200 OK\r\nContent-Length: " +
                            std::to_string(page.size()) + "\r\n\r\n" + page)) {
    }
  });
  const auto client = HttpPlatformClient::Make(
      {.platform = server.endpoint(), .format = &ObjectFormat()});
  CHECK(client->List("servers/").error().code ==
        ResultCode::kPlatformBadAnswer);
}

TEST_CASE("a watch returns events, or kPlatformCompacted if they are gone") {
  const auto platform = MakePlatform();
  const auto client = MakeClient(*platform);
  REQUIRE(platform->Put("servers/a", "{}", 0).ok());
  std::thread writer([&] {
    absl::SleepFor(absl::Milliseconds(50));
    (void)platform->Delete("servers/a", 1);
  });
  const auto answer = client->Watch("servers/", 1, absl::Seconds(5));
  writer.join();
  REQUIRE(answer.ok());
  REQUIRE(answer.value().events.size() == 1);
  CHECK(answer.value().events[0].deleted);
  CHECK(answer.value().revision == 2);
  platform->Compact();
  CHECK(client->Watch("servers/", 1, absl::Seconds(1)).error().code ==
        ResultCode::kPlatformCompacted);
}

TEST_CASE("outages fail as unavailable, too many calls as rate limited") {
  const auto platform = MakePlatform({.limits = {.reads_per_second = 3}});
  const auto client = MakeClient(*platform);
  platform->SetOutage(Outage::kRefusing);
  CHECK(client->List("servers/").error().code ==
        ResultCode::kPlatformUnavailable);
  platform->SetOutage(Outage::kSilent);
  CHECK(client->List("servers/").error().code ==
        ResultCode::kPlatformUnavailable);
  platform->SetOutage(Outage::kNone);
  ResultCode code = ResultCode::kOk;
  for (int i = 0; i < 20 && code == ResultCode::kOk; ++i) {
    const auto listing = client->List("servers/");
    code = listing.ok() ? ResultCode::kOk : listing.error().code;
  }
  CHECK(code == ResultCode::kPlatformRateLimited);
}

// The fake platform applies the write and drops its answer. The client cannot
// know whether the write took effect and must not report a plain failure.
TEST_CASE("a write whose answer is lost has an unknown outcome") {
  const auto platform = MakePlatform();
  const auto client = MakeClient(*platform);
  platform->SetLostAnswers(1.0);
  CHECK(client->Put("locks/leader", "{}", 0).error().code ==
        ResultCode::kPlatformOutcomeUnknown);
  platform->SetLostAnswers(0);
  CHECK(client->Get("locks/leader").ok());
}

TEST_CASE("a watch that gets no answer times out") {
  const auto platform = MakePlatform();
  const auto client = MakeClient(*platform);
  REQUIRE(platform->Put("servers/a", "{}", 0).ok());
  platform->SetWatchStall(true);
  const absl::Time start = absl::Now();
  CHECK_FALSE(client->Watch("servers/", 1, absl::Milliseconds(300)).ok());
  CHECK(absl::Now() - start < absl::Seconds(2));
  platform->SetWatchStall(false);
  CHECK(client->List("servers/").ok());
}

}  // namespace
}  // namespace gcw::adapter
