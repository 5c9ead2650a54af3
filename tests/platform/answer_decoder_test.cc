// The client hands the body of an answer to a decoder while it arrives.

#include "gcw/platform/answer_decoder.h"

#include <fmt/format.h>
#include <malloc.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <ctime>
#include <string>
#include <string_view>

#include "gcw/platform/api_format.h"
#include "gcw/platform/listing_decoder.h"

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

// Generates a list answer with `count` entries of another writer, each with a
// value of `value_bytes`, and hands it to `take` in parts.
template <typename Take>
void GenerateForeignEntries(int count, std::size_t value_bytes, Take take) {
  constexpr std::size_t kPartBytes = 16'384;
  const std::string part(kPartBytes, 'x');
  take(R"({"revision":20,"objects":[{"key":"a/1","version":1,"value":{}})");
  for (int i = 0; i < count; ++i) {
    take(fmt::format(R"(,{{"key":"a/b{}","version":{},"value":")", i, i + 2));
    for (std::size_t left = value_bytes; left > 0;) {
      const std::size_t bytes = std::min(left, part.size());
      take(std::string_view(part).substr(0, bytes));
      left -= bytes;
    }
    take("\"}");
  }
  take("]}");
}

// The bytes that this process has allocated and not freed.
std::size_t AllocatedBytes() {
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

// A daemon with 390 MB held all of an answer before it decoded the first entry.
TEST_CASE("the bytes of an answer are not held until it ends") {
  const auto list = FlatApiFormat().MakeListDecoder("a/");
  const std::size_t before = AllocatedBytes();
  std::size_t most = 0;
  // Each is longer than any value of the platform.
  GenerateForeignEntries(50, 4'000'000, [&](std::string_view part) {
    CHECK(list->OnBytes(part).ok());
    most =
        std::max(most, AllocatedBytes() - std::min(before, AllocatedBytes()));
  });
  const auto page = list->Finish();
  REQUIRE(page.ok());
  CHECK(page.value().listing.objects.size() == 51);
  // An entry of the platform's longest value, twice, and its decoded form.
  CHECK(most < 4'000'000);
}

// Each entry was read on to the end of the answer before the next one.
TEST_CASE(
    "an answer full of entries without an end is decoded in linear time") {
  std::string body = R"({"revision":20,"objects":[)";
  for (int i = 1; i <= 20'000; ++i) {
    body += fmt::format(R"({{"key":"a/{}","version":{},"value":{{}},)", i, i);
  }
  body += R"({"key":"a/x","version":20001,"value":{}}]})";
  const std::clock_t begin = std::clock();
  const auto page = FlatApiFormat().DecodeListPage("a/", body);
  const auto end = std::clock();
  CHECK(static_cast<double>(end - begin) / CLOCKS_PER_SEC < 1.0);
  REQUIRE(page.ok());
  CHECK(page.value().listing.objects.size() == 20'001);
}

// The same watch was made again and again, and its answer only grew.
TEST_CASE("a watch with more events than a decoder takes asks for a list") {
  std::string body = R"({"revision":20,"events":[)";
  const std::string event = R"({"key":"a/b","version":11,"deleted":true})";
  for (std::size_t i = 0; i <= kMaxEntries; ++i) {
    body += event + ",";
  }
  const auto decoder = FlatApiFormat().MakeWatchDecoder("a/");
  const Status status = decoder->OnBytes(body);
  REQUIRE_FALSE(status.ok());
  CHECK(status.error().code == ResultCode::kPlatformCompacted);
}

}  // namespace
}  // namespace gcw::platform
