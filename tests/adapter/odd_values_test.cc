// Another writer may leave a value in the store that no parser can decode. Each
// of these values made the whole answer unreadable, or ended the process.

#include "tests/support/odd_values.h"

#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <string>

#include "platform/object_format.h"
#include "platform/resource_codec.h"

namespace gcw::adapter {
namespace {

constexpr char kServer[] =
    R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1",)"
    R"("capacity":2,"state":"ready","warmup_left_ms":0,"sequence":4,)"
    R"("born":1791663355018})";

std::string Item(std::string_view name,
                 int revision,
                 const std::string& value) {
  return fmt::format(
      R"({{"meta":{{"name":"{}","revision":{},"created":1,"finalizers":[],)"
      R"("deleting":false}},"spec":{},"status":null}})",
      name, revision, value);
}

std::string Event(const std::string& item) {
  return fmt::format(R"({{"removed":false,"object":{}}})", item);
}

bool IsServer(const platform::Object& object) {
  return DecodeServer(object.key.substr(kServersPrefix.size()), object.value)
      .ok();
}

// Checks that `objects` has the two good servers around the odd entry, and that
// the odd entry, if it is there, is no server.
void CheckObjects(const std::vector<platform::Object>& objects) {
  int servers = 0;
  for (const platform::Object& object : objects) {
    const bool good =
        object.key == "servers/i-1" || object.key == "servers/i-3";
    CHECK(IsServer(object) == good);
    CHECK_FALSE(object.value.empty());
    CHECK(object.value.size() < 20'000);
    servers += good ? 1 : 0;
  }
  CHECK(servers == 2);
}

TEST_CASE("an odd value in a list leaves the other entries readable") {
  for (const test::OddValue& odd : test::OddValues()) {
    INFO(odd.name);
    const std::string good_1 = Item("i-1", 11, kServer);
    const std::string bad = Item("i-2", 12, odd.text);
    const std::string good_3 = Item("i-3", 13, kServer);
    for (const std::string& items :
         {good_1 + "," + bad + "," + good_3, bad + "," + good_1 + "," + good_3,
          good_1 + "," + good_3 + "," + bad,
          bad + "," + good_1 + "," + bad + "," + good_3 + "," + bad}) {
      const auto page = ObjectFormat().DecodeListPage(
          "servers/", fmt::format(R"({{"items":[{}],"has_more":false,)"
                                  R"("store_revision":20}})",
                                  items));
      REQUIRE(page.ok());
      CHECK(page.value().listing.revision == 20);
      CHECK(page.value().continue_after.empty());
      CheckObjects(page.value().listing.objects);
    }
  }
}

TEST_CASE("an odd value in a watch leaves the other events readable") {
  for (const test::OddValue& odd : test::OddValues()) {
    INFO(odd.name);
    const std::string good_1 = Event(Item("i-1", 11, kServer));
    const std::string bad = Event(Item("i-2", 12, odd.text));
    const std::string good_3 = Event(Item("i-3", 13, kServer));
    for (const std::string& events :
         {good_1 + "," + bad + "," + good_3, bad + "," + good_1 + "," + good_3,
          good_1 + "," + good_3 + "," + bad}) {
      const auto answer = ObjectFormat().DecodeWatch(
          "servers/",
          fmt::format(R"({{"events":[{}],"store_revision":20}})", events));
      REQUIRE(answer.ok());
      CHECK(answer.value().revision == 20);
      std::vector<platform::Object> objects;
      for (const platform::WatchEvent& event : answer.value().events) {
        CHECK_FALSE(event.deleted);
        objects.push_back(event.object);
      }
      CheckObjects(objects);
    }
  }
}

// Until its writer removes it, an odd value keeps its name and version, so that
// a server under that name is known to have been overwritten.
TEST_CASE("an odd value does not hide the name of its entry") {
  for (const test::OddValue& odd : test::OddValues()) {
    INFO(odd.name);
    const auto page = ObjectFormat().DecodeListPage(
        "servers/", R"({"items":[)" + Item("i-2", 12, odd.text) +
                        R"(],"has_more":false,"store_revision":20})");
    REQUIRE(page.ok());
    REQUIRE(page.value().listing.objects.size() == 1);
    CHECK(page.value().listing.objects[0].key == "servers/i-2");
    CHECK(page.value().listing.objects[0].version == 12);
  }
}

// An entry inside a value of another writer must not be taken for one of the
// list.
TEST_CASE("an entry within an odd value is no entry of the list") {
  const std::string inner = Item("i-9", 15, kServer);
  const std::string odd = R"({"zone":[1e999,)" + inner + "]}";
  const auto page = ObjectFormat().DecodeListPage(
      "servers/", R"({"items":[)" + Item("i-1", 11, kServer) + "," +
                      Item("i-2", 12, odd) +
                      R"(],"has_more":false,"store_revision":20})");
  REQUIRE(page.ok());
  REQUIRE(page.value().listing.objects.size() == 2);
  CHECK_FALSE(IsServer(page.value().listing.objects[1]));
}

// The store would have to write such a name or version itself. The entry is
// left out and counted; a peer would refuse a message that has it.
TEST_CASE("an entry with an odd name or version leaves the others readable") {
  const std::string good = Item("i-1", 11, kServer);
  const std::string odd_items[] = {
      Item("", 12, kServer),
      Item(test::Repeated("n", 600), 12, kServer),
      Item("i-2", 0, kServer),
      Item("i-2", -1, kServer),
      R"({"meta":{"name":5,"revision":12},"spec":{}})",
      R"({"meta":{"name":"i-2","revision":1e300},"spec":{}})",
      R"({"meta":{"name":"i-2","revision":18446744073709551615},"spec":{}})",
      R"({"meta":{"name":"i-2"},"spec":{}})",
      R"({"meta":null,"spec":{}})",
      R"({"spec":{}})",
      R"({})",
      "null",
      "5",
  };
  for (const std::string& odd : odd_items) {
    INFO(odd);
    const auto page = ObjectFormat().DecodeListPage(
        "servers/", R"({"items":[)" + good + "," + odd +
                        R"(],"has_more":false,"store_revision":20})");
    REQUIRE(page.ok());
    REQUIRE(page.value().listing.objects.size() == 1);
    CHECK(page.value().listing.objects[0].key == "servers/i-1");
    CHECK(page.value().listing.skipped.count == 1);
    CHECK_FALSE(page.value().listing.skipped.first.message.empty());
  }
}

TEST_CASE("the reason why a value was not decoded fits a log line") {
  for (const test::OddValue& odd : test::OddValues()) {
    INFO(odd.name);
    const auto server = DecodeServer("i-2", odd.text);
    REQUIRE_FALSE(server.ok());
    CHECK(server.error().message.size() <= 200);
  }
}

}  // namespace
}  // namespace gcw::adapter
