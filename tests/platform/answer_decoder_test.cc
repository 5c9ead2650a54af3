// The client hands the body of an answer to a decoder while it arrives.

#include "gcw/platform/answer_decoder.h"

#include <catch2/catch.hpp>
#include <string>
#include <string_view>

#include "gcw/platform/api_format.h"

namespace gcw::platform {
namespace {

constexpr std::string_view kPage =
    R"({"revision":20,"objects":[{"key":"a/b","version":11,"value":{}}]})";
constexpr std::string_view kAnswer =
    R"({"events":[{"key":"a/b","version":11,"deleted":true}],"revision":20})";

// A body that arrives in parts was not decoded before its last byte.
TEST_CASE("a body that arrives byte by byte is decoded") {
  const auto list = FlatApiFormat().MakeListDecoder("a/");
  for (const char& byte : kPage) {
    REQUIRE(list->OnBytes(std::string_view(&byte, 1)).ok());
  }
  const auto page = list->Finish();
  REQUIRE(page.ok());
  CHECK(page.value().listing.revision == 20);
  CHECK(page.value().listing.objects.size() == 1);

  const auto watch = FlatApiFormat().MakeWatchDecoder("a/");
  for (const char& byte : kAnswer) {
    REQUIRE(watch->OnBytes(std::string_view(&byte, 1)).ok());
  }
  const auto answer = watch->Finish();
  REQUIRE(answer.ok());
  CHECK(answer.value().events.size() == 1);
}

TEST_CASE("a body that ends too early is a bad answer") {
  const auto list = FlatApiFormat().MakeListDecoder("a/");
  (void)list->OnBytes(kPage.substr(0, kPage.size() - 1));
  CHECK_FALSE(list->Finish().ok());
}

}  // namespace
}  // namespace gcw::platform
