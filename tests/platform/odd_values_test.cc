// Another writer may leave a value on the platform that no parser can decode.
// Each of these values made the whole answer unreadable, or ended the process.

#include "tests/support/odd_values.h"

#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>

#include "gcw/platform/api_format.h"
#include "gcw/platform/json_text.h"
#include "src/platform/platform_json.h"

namespace gcw::platform {
namespace {

// The objects of the list answer `body`.
Result<Listing> DecodeListing(std::string_view body) {
  auto page = FlatApiFormat().DecodeListPage("config/", body);
  if (!page.ok()) {
    return page.error();
  }
  return std::move(page).value().listing;
}

std::string Entry(std::string_view key, int version, const std::string& value) {
  return fmt::format(R"({{"key":"{}","version":{},"created":1,"value":{}}})",
                     key, version, value);
}

// Checks that the two good objects around the odd one are unchanged, and that
// every value is short JSON.
void CheckObject(const Object& object) {
  const auto value = nlohmann::json::parse(object.value);
  CHECK(object.value.size() < 1'000'000);
  if (object.key != "config/zone/b") {
    CHECK(value == nlohmann::json{{"name", "a"}});
  }
}

TEST_CASE("an odd value leaves the other objects of an answer readable") {
  for (const test::OddValue& odd : test::OddValues()) {
    INFO(odd.name);
    const std::string entries = Entry("config/zone/a", 11, R"({"name":"a"})") +
                                "," + Entry("config/zone/b", 12, odd.text) +
                                "," +
                                Entry("config/zone/c", 13, R"({"name":"a"})");
    const auto listing = DecodeListing(
        fmt::format(R"({{"revision":20,"objects":[{}]}})", entries));
    REQUIRE(listing.ok());
    CHECK(listing.value().revision == 20);
    REQUIRE(listing.value().objects.size() == 3);
    for (const Object& object : listing.value().objects) {
      CheckObject(object);
    }
    const auto answer = FlatApiFormat().DecodeWatch(
        "config/", fmt::format(R"({{"events":[{}],"revision":20}})", entries));
    REQUIRE(answer.ok());
    REQUIRE(answer.value().events.size() == 3);
    for (const WatchEvent& event : answer.value().events) {
      CheckObject(event.object);
    }
  }
}

// The value is replaced, but its writer's next write must find the version.
TEST_CASE("an odd object is read with its version") {
  for (const test::OddValue& odd : test::OddValues()) {
    INFO(odd.name);
    const auto object = ReadObject(Entry("config/zone/b", 12, odd.text));
    REQUIRE(object.ok());
    CHECK(object.value().version == 12);
  }
}

TEST_CASE("an entry without a key or version is left out and counted") {
  for (const char* odd :
       {"{}", R"({"key":1})", R"({"key":"config/zone/b"})",
        R"({"key":"config/zone/b","version":0})",
        R"({"key":"config/zone/b","version":1e300})",
        R"({"key":"config/zone/b","version":18446744073709551615})",
        R"({"key":"","version":5})", "null", "7"}) {
    INFO(odd);
    const auto listing =
        DecodeListing(fmt::format(R"({{"revision":20,"objects":[{},{}]}})", odd,
                                  Entry("config/zone/a", 11, "{}")));
    REQUIRE(listing.ok());
    CHECK(listing.value().objects.size() == 1);
    CHECK(listing.value().skipped.count == 1);
  }
}

// A bracket within a text is no level: a long text is not nested.
TEST_CASE("nesting is counted outside of texts only") {
  CHECK(IsNestedDeeper("[[1]]", 1));
  CHECK_FALSE(IsNestedDeeper("[[1]]", 2));
  CHECK_FALSE(IsNestedDeeper(R"(["[[[[", "\"[["])", 1));
  CHECK_FALSE(IsNestedDeeper("[],[],{}", 1));
}

}  // namespace
}  // namespace gcw::platform
