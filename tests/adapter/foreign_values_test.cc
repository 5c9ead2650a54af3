// Another writer may leave objects in the store that are valid JSON but nothing
// of this system. All of their text was kept, and passed on to all peers.

#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "gcw/platform/json_text.h"
#include "platform/object_format.h"
#include "platform/resource_codec.h"
#include "tests/support/odd_values.h"

namespace gcw::adapter {
namespace {

constexpr char kServer[] =
    R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1",)"
    R"("capacity":2,"state":"ready","warmup_left_ms":0,"sequence":4,)"
    R"("born":1791663355018})";
// What is kept of a value that is of no use.
constexpr std::size_t kMaxKeptBytes = 200;

std::string Item(std::string_view name, std::string_view value) {
  return fmt::format(
      R"({{"meta":{{"name":"{}","revision":12,"created":1}},"spec":{}}})", name,
      value);
}

// The object that is read from a list and from a watch of `prefix`.
std::vector<platform::Object> Read(std::string_view prefix,
                                   std::string_view name,
                                   std::string_view value) {
  const std::string item = Item(name, value);
  const auto page = ObjectFormat().DecodeListPage(
      prefix, fmt::format(R"({{"items":[{}],"has_more":false,)"
                          R"("store_revision":20}})",
                          item));
  const auto answer = ObjectFormat().DecodeWatch(
      prefix, fmt::format(R"({{"events":[{{"removed":false,"object":{}}}],)"
                          R"("store_revision":20}})",
                          item));
  REQUIRE(page.ok());
  REQUIRE(answer.ok());
  REQUIRE(page.value().listing.objects.size() == 1);
  REQUIRE(answer.value().events.size() == 1);
  return {page.value().listing.objects[0], answer.value().events[0].object};
}

// The key and version must stay: the entry may replace one of this system.
void CheckUnusable(std::string_view prefix,
                   std::string_view name,
                   std::string_view value) {
  for (const platform::Object& object : Read(prefix, name, value)) {
    CHECK(object.key == fmt::format("{}{}", prefix, name));
    CHECK(object.version == 12);
    CHECK(object.value.size() <= kMaxKeptBytes);
    CHECK_FALSE(platform::UnreadableReason(object.value).empty());
  }
}

TEST_CASE("an entry that is no server keeps its key, version and reason only") {
  const std::string long_text = test::Repeated("x", 15'000);
  for (const std::string& value :
       {fmt::format(R"({{"note":"{}"}})", long_text),
        fmt::format(R"({{"service":"{}"}})", long_text),
        fmt::format(R"("{}")", long_text),
        fmt::format(R"("unreadable value: {}")", long_text),
        fmt::format("{},\"note\":\"{}\"}}", std::string(kServer).substr(0, 30),
                    long_text),
        std::string("{}"), std::string("null"), std::string("[1,2]")}) {
    INFO(value.substr(0, 40));
    CheckUnusable(kServersPrefix, "i-2", value);
  }
  CheckUnusable(kServersPrefix, "no-number", kServer);
}

TEST_CASE("a server's entry is kept as it is") {
  for (const platform::Object& object : Read(kServersPrefix, "i-2", kServer)) {
    const auto server = DecodeServer("i-2", object.value);
    REQUIRE(server.ok());
    CHECK(server.value().slots == 2);
  }
}

TEST_CASE("the configuration is kept whole, other objects beside it are not") {
  const std::string value =
      fmt::format(R"({{"note":"{}"}})", test::Repeated("x", 900'000));
  for (const auto& object : Read(kConfigurationPrefix, "main", value)) {
    CHECK(object.value == value);
  }
  CheckUnusable(kConfigurationPrefix, "copy", value);
  CheckUnusable(kConfigurationPrefix, "copy", "{}");
}

TEST_CASE("no more than a short value is kept of a zone out of service") {
  for (const auto& object : Read(kZonesOutPrefix, "zone-a", R"({"by":"x"})")) {
    CHECK(object.value == R"({"by":"x"})");
  }
  CheckUnusable(kZonesOutPrefix, "zone-a",
                fmt::format(R"({{"note":"{}"}})", test::Repeated("x", 5'000)));
}

// The reason in the log was that of the decoder, which had got the reason as
// the value.
TEST_CASE("the reason why an entry is no server is the one that is logged") {
  const auto error = DecodeServer("i-2", "{}").error();
  const auto objects = Read(kServersPrefix, "i-2", "{}");
  CHECK(DecodeServer("i-2", objects[0].value).error().message == error.message);
}

}  // namespace
}  // namespace gcw::adapter
