#include "src/direct_balancer/unreadable_log.h"

#include <fmt/format.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

namespace gcw::direct_balancer {
namespace {

// The log of `calls` calls of OnUnreadable() with the same objects, a second
// apart.
std::string LogOf(const std::vector<UnreadableObject>& objects, int calls) {
  const std::unique_ptr<std::FILE, int (*)(std::FILE*)> file(std::tmpfile(),
                                                             &std::fclose);
  REQUIRE(file != nullptr);
  auto log = EventLog::Make({.descriptor = fileno(file.get())});
  REQUIRE(log.ok());
  EventWriter writer(*log.value());
  UnreadableLog unreadable(writer);
  for (int call = 0; call < calls; ++call) {
    unreadable.OnUnreadable(objects,
                            absl::UnixEpoch() + call * absl::Seconds(1));
  }
  log.value()->Close();
  std::string text(1'000'000, '\0');
  std::rewind(file.get());
  text.resize(std::fread(text.data(), 1, text.size(), file.get()));
  return text;
}

std::vector<UnreadableObject> MakeObjects(int count) {
  std::vector<UnreadableObject> objects;
  objects.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    objects.push_back({fmt::format("servers/x{}", i),
                       static_cast<direct::Version>(i + 1),
                       {ResultCode::kPlatformBadAnswer, "", "odd"}});
  }
  return objects;
}

std::size_t LinesOf(const std::string& text) {
  return static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
}

// Another writer's entries filled the log: 500 lines in 30 s.
TEST_CASE("thousands of unreadable objects are a few lines") {
  const std::string log = LogOf(MakeObjects(20'000), 3);
  CHECK(LinesOf(log) == 20);
  CHECK(log.find("\"left_out\":19980") != std::string::npos);
}

TEST_CASE("an unreadable object is logged once in an interval") {
  const std::string log = LogOf(MakeObjects(2), 3);
  CHECK(LinesOf(log) == 2);
  CHECK(log.find("\"left_out\":0") != std::string::npos);
}

}  // namespace
}  // namespace gcw::direct_balancer
