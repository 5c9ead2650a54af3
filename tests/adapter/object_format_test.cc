#include "platform/object_format.h"

#include <catch2/catch.hpp>
#include <random>
#include <string>

namespace gcw::adapter {
namespace {

using platform::ApiMethod;

constexpr char kPage[] =
    R"({"items":[{"meta":{"name":"i-1","revision":12,"created":9,)"
    R"("finalizers":[],"deleting":false},"spec":{"a":1},"status":null},)"
    R"({"meta":{"name":"i-2","revision":15},"spec":null}],)"
    R"("has_more":true,"store_revision":530})";

TEST_CASE("calls use the paths and bodies of the users' object API") {
  const platform::ApiFormat& format = ObjectFormat();
  CHECK(format.List("servers/", "").target == "/objects/servers");
  CHECK(format.List("servers/", "servers/i-7").target ==
        "/objects/servers?after=i-7");
  CHECK(format.Get("config/main").target == "/objects/config/main");
  CHECK(format.Watch("servers/", 530, absl::Seconds(4)).target ==
        "/objects/servers?wait_ms=4000&watch=530");
  const auto created = format.Put("locks/leader", R"({"x":1})", 0);
  CHECK(created.method == ApiMethod::kPost);
  CHECK(created.target == "/objects/locks");
  CHECK(created.body == R"({"meta":{"name":"leader"},"spec":{"x":1}})");
  const auto replaced = format.Put("locks/leader", "{}", 412);
  CHECK(replaced.method == ApiMethod::kPut);
  CHECK(replaced.target == "/objects/locks/leader");
  CHECK(replaced.body ==
        R"({"meta":{"name":"leader","revision":412},"spec":{}})");
  CHECK(format.Delete("locks/leader", 3).target ==
        "/objects/locks/leader?revision=3");
}

TEST_CASE("a list page is decoded with the key after which to continue") {
  const auto page = ObjectFormat().DecodeListPage("locks/", kPage);
  REQUIRE(page.ok());
  CHECK(page.value().listing.revision == 530);
  REQUIRE(page.value().listing.objects.size() == 2);
  CHECK(page.value().listing.objects[0].key == "locks/i-1");
  CHECK(page.value().listing.objects[0].version == 12);
  CHECK(page.value().listing.objects[0].created == 9);
  CHECK(page.value().listing.objects[0].value == R"({"a":1})");
  CHECK(page.value().continue_after == "locks/i-2");
}

// Entries that are no server are kept for their names, at which the list goes
// on.
TEST_CASE("a list page of entries that are no server goes on after the last") {
  const auto page = ObjectFormat().DecodeListPage("servers/", kPage);
  REQUIRE(page.ok());
  CHECK(page.value().listing.revision == 530);
  REQUIRE(page.value().listing.objects.size() == 2);
  CHECK(page.value().listing.objects[0].key == "servers/i-1");
  CHECK(page.value().listing.objects[0].version == 12);
  CHECK(page.value().listing.objects[0].created == 9);
  CHECK(page.value().continue_after == "servers/i-2");
}

TEST_CASE("a watch answer is decoded to changes and deletions in order") {
  const auto answer = ObjectFormat().DecodeWatch(
      "servers/",
      R"({"events":[{"removed":false,"object":{"meta":{"name":"a",)"
      R"("revision":7},"spec":{}}},{"removed":true,"object":{"meta":)"
      R"({"name":"b","revision":8}}}],"store_revision":9})");
  REQUIRE(answer.ok());
  CHECK(answer.value().revision == 9);
  REQUIRE(answer.value().events.size() == 2);
  CHECK_FALSE(answer.value().events[0].deleted);
  CHECK(answer.value().events[1].deleted);
  CHECK(answer.value().events[1].object.key == "servers/b");
}

TEST_CASE("malformed answers are errors") {
  for (const char* body :
       {"", "{", "[]", "{}", R"({"items":{},"store_revision":1})",
        R"({"items":[],"store_revision":"x"})",
        R"({"items":[],"store_revision":-1})",
        R"({"items":[],"store_revision":1e300})",
        R"({"items":[],"store_revision":1)",
        R"({"items":[],"store_revision":1}})"}) {
    INFO(body);
    const auto page = ObjectFormat().DecodeListPage("servers/", body);
    REQUIRE_FALSE(page.ok());
    CHECK(page.error().code == ResultCode::kPlatformBadAnswer);
    CHECK_FALSE(ObjectFormat().DecodeWatch("servers/", body).ok());
  }
  CHECK_FALSE(ObjectFormat().DecodeVersion("{}").ok());
}

TEST_CASE("random bytes in answers do not throw") {
  std::mt19937 random(13);
  for (int i = 0; i < 5000; ++i) {
    std::string body = kPage;
    for (int change = 0; change < 3; ++change) {
      body[random() % body.size()] = static_cast<char>(random());
    }
    (void)ObjectFormat().DecodeListPage("servers/", body);
    (void)ObjectFormat().DecodeWatch("servers/", body);
  }
  SUCCEED("no exception was thrown");
}

}  // namespace
}  // namespace gcw::adapter
