#include "platform/resource_codec.h"

#include <catch2/catch.hpp>
#include <random>
#include <set>
#include <string>

#include "platform/stand_in_objects.h"

namespace gcw::adapter {
namespace {

constexpr char kServer[] =
    R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"sondrio",)"
    R"("version":"v1","capacity":3,"state":"ready","warmup_left_ms":1500,)"
    R"("sequence":4,"born":1791663355018})";

constexpr char kConfiguration[] =
    R"({"version":7,"routes":[{"name":"r-1","host":"198.18.0.1",)"
    R"("path_prefix":"/8443/","kind":"idempotent","priority":2,)"
    R"("target_latency_ms":200,"traffic_split":[)"
    R"({"service":"a","weight":90},{"service":"b","weight":10}]},)"
    R"({"name":"r-2","host":"198.18.0.2","path_prefix":"/443/",)"
    R"("service":"b","later":{"x":1}}],"services":[{"name":"a",)"
    R"("max_conns":2000,"warmup_s":2.0,"warmup_per_s":4.5},{"name":"b"}],)"
    R"("limits":{"idle_timeout_ms":15000}})";

// `text` with `from` replaced by `to`.
std::string With(std::string text,
                 const std::string& from,
                 const std::string& to) {
  const std::size_t at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

TEST_CASE("a server entry is decoded") {
  const auto server = DecodeServer("i-7f3a91c2", kServer);
  REQUIRE(server.ok());
  CHECK(server.value().number == 0x7f3a91c2);
  CHECK(server.value().incarnation == 1791663355018);
  CHECK(server.value().service == "huvo11a");
  CHECK(ToString(server.value().address) == "10.128.0.9:8080");
  CHECK(server.value().zone == "sondrio");
  CHECK(server.value().slots == 3);
  CHECK_FALSE(server.value().draining);
  CHECK(server.value().cold_for == absl::Milliseconds(1500));
}

TEST_CASE("a server entry with a missing or invalid field is an error") {
  const std::string good = kServer;
  const std::string bad[] = {
      "",
      "{",
      "[]",
      "null",
      "\"text\"",
      With(good, "\"service\":\"huvo11a\",", ""),
      With(good, "\"huvo11a\"", "5"),
      With(good, "10.128.0.9:8080", "nowhere"),
      With(good, "\"10.128.0.9:8080\"", "[]"),
      With(good, "\"zone\":\"sondrio\",", ""),
      With(good, ":3,", ":\"3\","),
      With(good, ":3,", ":3.5,"),
      With(good, ":3,", ":-3,"),
      With(good, "\"ready\"", "\"resting\""),
      With(good, "\"ready\"", "null"),
      With(good, "1500", "\"soon\""),
      With(good, "1500", "-1"),
      With(good, "1791663355018", "1791663355018.5"),
      With(good, "1791663355018", "true"),
      With(good, "1791663355018", "-1"),
      With(good, ",\"born\":1791663355018", ""),
      With(good, "\"version\":\"v1\",", ""),
      With(good, "\"v1\"", "1"),
      With(good, "\"v1\"", "\"\""),
      With(good, "\"sequence\":4,", ""),
      With(good, "\"sequence\":4", "\"sequence\":\"4\""),
      With(good, "\"sequence\":4", "\"sequence\":-4"),
      With(good, "\"sequence\":4", "\"sequence\":4.5"),
      With(good, "\"huvo11a\"", "\"\""),
      With(good, "\"sondrio\"", "\"\""),
      With(good, "\"sondrio\"", "\"" + std::string(300, 'z') + "\""),
      With(good, ":8080", ":0"),
      With(good, ":8080", ":65536"),
      With(good, ":8080", ":-1"),
      With(good, ":8080", ""),
      With(good, "10.128.0.9", "0.0.0.0"),
      With(good, "10.128.0.9", "255.255.255.255"),
      With(good, "10.128.0.9", "224.0.0.1"),
      With(good, "10.128.0.9", "10.128.0.900"),
      With(good, ":3,", ":0,"),
      With(good, ":3,", ":18446744073709551615,"),
      With(good, "1500", "1e300"),
      With(good, "1500", "null"),
  };
  for (const std::string& value : bad) {
    INFO(value);
    const auto server = DecodeServer("i-7f3a91c2", value);
    REQUIRE_FALSE(server.ok());
    CHECK(server.error().code == ResultCode::kPlatformBadAnswer);
  }
  for (const char* name : {"no digits here", "", "i-", "i-0x12", "i-+1", "i-1 ",
                           "i-10000000000000000"}) {
    INFO(name);
    CHECK_FALSE(DecodeServer(name, kServer).ok());
  }
}

// A packet with the number 0 addresses any server, so a server could not tell
// that such a packet was not meant for it.
TEST_CASE("an entry whose name ends in the number 0 is no server") {
  CHECK_FALSE(DecodeServer("pool-0", kServer).ok());
  CHECK_FALSE(DecodeServer("i-0000", kServer).ok());
}

// With another cookie after a restart, a daemon that never read of the earlier
// incarnation would not find the server of a flow that carries its cookie.
TEST_CASE("a server that restarts under the same name keeps its cookie") {
  const auto first = DecodeServer("i-1", kServer).value();
  const auto second =
      DecodeServer("i-1", With(kServer, "1791663355018", "1791663355019"))
          .value();
  CHECK(direct::CookieOf(first) == direct::CookieOf(second));
  CHECK(direct::KeyOf(first) != direct::KeyOf(second));
}

TEST_CASE("servers have different cookies, and none has 0") {
  std::set<direct::FlowCookie> cookies;
  for (const char* name : {"i-1", "i-2", "i-7f3a91c2", "i-ffffffff"}) {
    cookies.insert(direct::CookieOf(DecodeServer(name, kServer).value()));
  }
  CHECK(cookies.size() == 4);
  CHECK_FALSE(cookies.contains(0));
  // The two halves of this number are equal.
  const auto folded = DecodeServer("i-100000001", kServer).value();
  CHECK(direct::CookieOf(folded) != 0);
}

TEST_CASE("a configuration is decoded") {
  const auto read = DecodeConfiguration(kConfiguration);
  REQUIRE(read.ok());
  const direct::Configuration& configuration = read.value();
  CHECK(configuration.version == 7);
  REQUIRE(configuration.routes.size() == 2);
  CHECK(ToString(configuration.routes[0].address) == "198.18.0.1:8443");
  CHECK(configuration.routes[0].services ==
        std::vector<direct::ServiceShare>{{"a", 90}, {"b", 10}});
  CHECK(configuration.routes[0].priority == 2);
  CHECK(configuration.routes[0].target_latency == absl::Milliseconds(200));
  CHECK(configuration.routes[1].priority == 0);
  CHECK(configuration.routes[1].target_latency == absl::ZeroDuration());
  CHECK(configuration.routes[1].services ==
        std::vector<direct::ServiceShare>{{"b", 1}});
  REQUIRE(configuration.services.size() == 2);
  CHECK(configuration.services[0].max_flows == 2000);
  CHECK(configuration.services[0].cold_flows_per_second == 4.5);
  CHECK(configuration.services[0].cold_time == absl::Seconds(2));
  CHECK(configuration.flow_idle_timeout == absl::Seconds(15));
}

TEST_CASE("encoded servers and configurations are decoded unchanged") {
  const auto server = DecodeServer("i-1", kServer).value();
  CHECK(DecodeServer("i-1", EncodeServer(server)).value() == server);
  const auto configuration = DecodeConfiguration(kConfiguration).value();
  direct::Configuration again =
      DecodeConfiguration(EncodeConfiguration(configuration)).value();
  CHECK(again.routes == configuration.routes);
  CHECK(again.services == configuration.services);
}

TEST_CASE("a configuration without fields or valid addresses is an error") {
  for (const char* prefix : {"8443", "/8443", "//", "/x/", "/70000/", ""}) {
    INFO(prefix);
    CHECK_FALSE(
        DecodeConfiguration(With(kConfiguration, "/8443/", prefix)).ok());
  }
  CHECK_FALSE(
      DecodeConfiguration(With(kConfiguration, "198.18.0.1", "host")).ok());
  CHECK_FALSE(DecodeConfiguration("{}").ok());
}

TEST_CASE("random bytes in values do not throw") {
  std::mt19937 random(11);
  for (int i = 0; i < 5000; ++i) {
    std::string server = kServer;
    std::string configuration = kConfiguration;
    for (int change = 0; change < 3; ++change) {
      server[random() % server.size()] = static_cast<char>(random());
      configuration[random() % configuration.size()] =
          static_cast<char>(random());
    }
    (void)DecodeServer("i-7f3a91c2", server);
    (void)DecodeConfiguration(configuration);
  }
  SUCCEED("no exception was thrown");
}

}  // namespace
}  // namespace gcw::adapter
