// The entries of a listing are split while the text arrives. How the text is
// cut into parts must not change what is read.

#include "gcw/platform/json_listing_reader.h"

#include <fmt/format.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <ctime>
#include <initializer_list>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "tests/support/odd_values.h"

namespace gcw::platform {
namespace {

// What a reader has read from a text.
struct Read {
  std::vector<std::string> entries;
  std::vector<std::string> long_entries;  // Their beginnings.
  std::vector<std::string> members;       // "NAME=VALUE".
  bool ok = false;

  bool operator==(const Read&) const = default;
};

class Collector : public JsonListingReader::Listener {
 public:
  explicit Collector(Read& read) : read_(read) {}
  void OnEntry(std::string_view text) override {
    read_.entries.emplace_back(text);
  }
  void OnLongEntry(std::string_view beginning) override {
    read_.long_entries.emplace_back(beginning);
  }

 private:
  Read& read_;
};

// Reads `text` in parts whose lengths `next_length` returns.
template <typename NextLength>
Read ReadInParts(std::string_view text, const NextLength& next_length) {
  Read read;
  Collector collector(read);
  JsonListingReader reader("items", collector);
  while (!text.empty()) {
    const std::size_t length = std::min(text.size(), next_length());
    (void)reader.OnBytes(text.substr(0, length));
    text.remove_prefix(length);
  }
  const auto members = reader.Finish();
  read.ok = members.ok();
  if (members.ok()) {
    for (const JsonMember& member : members.value()) {
      read.members.push_back(fmt::format("{}={}", member.name, member.value));
    }
  }
  return read;
}

Read ReadWhole(std::string_view text) {
  return ReadInParts(text, [&] { return text.size(); });
}

// Reads `text` as a whole and in random parts, and checks that all are equal.
Read ReadAlike(std::string_view text, unsigned seed) {
  Read whole = ReadWhole(text);
  std::mt19937 random(seed);
  for (const std::size_t longest : {7U, 300U, 60'000U}) {
    if (text.size() / longest < 100'000) {
      const Read parts = ReadInParts(text, [&] {
        return std::uniform_int_distribution<std::size_t>(1, longest)(random);
      });
      CHECK(parts == whole);
    }
  }
  return whole;
}

std::string Entry(int number, std::string_view value) {
  return fmt::format(R"({{"meta":{{"name":"i-{}"}},"spec":{},"status":null}})",
                     number, value);
}

std::string Joined(std::initializer_list<std::string_view> entries) {
  return fmt::format("{}", fmt::join(entries, ","));
}

std::string Listing(std::string_view entries) {
  return fmt::format(R"({{"more":false,"items":[{}],"revision":20}})", entries);
}

// The members of the listings of this test.
std::vector<std::string> Members() {
  return {"more=false", "revision=20"};
}

TEST_CASE("odd entries are split alike in whatever parts they arrive") {
  unsigned seed = 1;
  for (const test::OddValue& odd : test::OddValues()) {
    INFO(odd.name);
    const std::string good = Entry(1, R"({"a":[1,"x\"y"]})");
    const std::string bad = Entry(2, odd.text);
    for (const std::string& entries :
         {Joined({good, bad, good}), Joined({bad, good}),
          Joined({good, bad})}) {
      const std::string text = Listing(entries);
      const Read read = ReadAlike(text, seed++);
      REQUIRE(read.ok);
      CHECK(read.members == Members());
      CHECK(read.long_entries.empty());
      // Each of the texts begins or ends with a good entry, or both.
      CHECK(std::count(read.entries.begin(), read.entries.end(), good) ==
            (entries.starts_with(good) ? 1 : 0) +
                (entries.ends_with(good) ? 1 : 0));
      if (text.size() < 20'000) {
        CHECK(ReadInParts(text, [] { return std::size_t{1}; }) == read);
      }
    }
  }
}

TEST_CASE("random changes are read alike in whatever parts they arrive") {
  const std::string entries = Entry(1, "{}") + "," + Entry(2, R"([{"a":1}])") +
                              "," + Entry(3, R"("x")");
  for (unsigned seed = 1; seed <= 3000; ++seed) {
    std::mt19937 random(seed);
    std::string text = Listing(entries);
    for (int change = 0; change < 3; ++change) {
      constexpr std::string_view kBytes = "{}[]\",:\\ x";
      const std::size_t at = random() % text.size();
      if (random() % 2 == 0) {
        text[at] = kBytes[random() % kBytes.size()];
      } else {
        text.erase(at, 1 + random() % 5);
      }
    }
    INFO(text);
    const Read whole = ReadWhole(text);
    CHECK(ReadInParts(text, [] { return std::size_t{1}; }) == whole);
    CHECK(ReadInParts(text, [&] { return 1 + random() % 40; }) == whole);
  }
}

// A value may have entries of its own.
TEST_CASE("an entry within a value is no entry of the listing") {
  const std::string inner = Entry(9, "{}");
  const std::string value = "[0," + inner + "," + inner + "]";
  const std::string entries = Entry(1, "{}") + "," + Entry(2, value) + "," +
                              Entry(3, R"({"a":)" + value + "}");
  const Read read = ReadAlike(Listing(entries), 1);
  REQUIRE(read.ok);
  CHECK(read.entries ==
        std::vector<std::string>{Entry(1, "{}"), Entry(2, value),
                                 Entry(3, R"({"a":)" + value + "}")});
}

TEST_CASE("the other members may stand before or after the array") {
  for (const char* text :
       {R"({"more":false,"revision":20,"items":[]})",
        R"({"items":[],"more":false,"revision":20})",
        R"( { "more" : false , "items" : [ ] , "revision" : 20 } )"}) {
    INFO(text);
    const Read read = ReadAlike(text, 1);
    CHECK(read.ok);
    CHECK(read.members.size() == 2);
  }
  const Read read = ReadAlike(
      R"({"a":{"items":[7]},"items":[{"x":1}],"b":["]}"],"c":[[1]]})", 1);
  REQUIRE(read.ok);
  CHECK(read.entries == std::vector<std::string>{R"({"x":1})"});
  CHECK(read.members == std::vector<std::string>{R"(a={"items":[7]})",
                                                 R"(b=["]}"])", "c=[[1]]"});
}

// A page of an error or of another program was read to its end, however long.
TEST_CASE("text that is no listing fails at its first bytes") {
  for (const char* text :
       {"<html>", "[", "x", "\"", "5", "{}", "{5", R"({"items":{)",
        R"({"items":"x)", R"({"a":"b"c)", R"({"a":[})", R"({"a":1]})"}) {
    INFO(text);
    Read read;
    Collector collector(read);
    JsonListingReader reader("items", collector);
    CHECK_FALSE(reader.OnBytes(text).ok());
    CHECK_FALSE(reader.OnBytes(R"({"items":[]})").ok());
    CHECK_FALSE(reader.Finish().ok());
  }
  Read read;
  Collector collector(read);
  JsonListingReader reader("items", collector);
  CHECK_FALSE(reader.OnBytes(R"({"a":")" + test::Repeated("x", 100'000)).ok());
}

// An array in the last entry may look like the end of the listing's array, but
// nothing can stand for the members that are missing.
TEST_CASE("a listing that ends too early is an error") {
  const std::string text = Listing(Entry(1, "{}") + "," + Entry(2, "[]"));
  for (std::size_t length = 0; length < text.size(); ++length) {
    INFO(length);
    const Read read = ReadWhole(std::string_view(text).substr(0, length));
    CHECK((!read.ok || read.members != Members()));
  }
  CHECK(ReadWhole(text).ok);
}

// An entry without an end must not be held, nor hide the ones that follow.
TEST_CASE("an entry that is too long does not affect the others") {
  const std::string x = test::Repeated("x", 3'000'000);
  const std::string brackets = test::Repeated("[", 1'500'000);
  const std::string good = Entry(1, "{}");
  for (const std::string& value :
       {"\"" + x + "\"", x, "\"" + x, R"({"a":")" + x + R"(","b":[)",
        R"([{"a":")" + x + R"(")", brackets,
        brackets + test::Repeated("]", 1'500'000)}) {
    INFO(value.substr(0, 20));
    const std::string odd = Entry(2, value);
    for (const std::string& entries :
         {Joined({good, odd, good}), Joined({odd, good, good}),
          Joined({good, good, odd})}) {
      const Read read = ReadAlike(Listing(entries), 1);
      REQUIRE(read.ok);
      CHECK(read.members == Members());
      CHECK(read.entries == std::vector<std::string>{good, good});
      CHECK(read.long_entries ==
            std::vector<std::string>{R"({"meta":{"name":"i-2"})"});
    }
  }
}

// Each of these entries was read on to the end of the answer before the next
// one was read: 20,000 of them took minutes.
TEST_CASE("many entries without an end are read in linear time") {
  constexpr int kEntries = 20'000;
  const std::string filler = test::Repeated("x", 200);
  for (const std::string& value :
       {std::string("{"), std::string("["), R"([{"a":1)" + std::string(),
        R"({"a":")" + filler + R"(","b":{)", R"([{"a":")" + filler + R"(")",
        R"({"a":")" + filler}) {
    INFO(value);
    std::string entries = Entry(0, "{}");
    for (int i = 1; i < kEntries; ++i) {
      entries += "," + Entry(i, value);
    }
    entries += "," + Entry(kEntries, "{}");
    const std::string text = Listing(entries);
    const std::clock_t begin = std::clock();
    const Read read = ReadWhole(text);
    const double seconds =
        static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC;
    CHECK(seconds < 1.0);
    REQUIRE(read.ok);
    CHECK(read.entries.size() == kEntries + 1);
    CHECK(read.entries.front() == Entry(0, "{}"));
    CHECK(read.entries.back() == Entry(kEntries, "{}"));
    CHECK(ReadInParts(text, [] { return std::size_t{997}; }) == read);
  }
}

}  // namespace
}  // namespace gcw::platform
