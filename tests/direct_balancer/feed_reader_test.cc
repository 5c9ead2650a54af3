#include "src/direct_balancer/feed_reader.h"

#include <catch2/catch.hpp>
#include <string>
#include <variant>
#include <vector>

#include "platform/object_format.h"

namespace gcw::direct_balancer {
namespace {

relay::Object Server(const std::string& name,
                     relay::Version version,
                     const std::string& state = "ready") {
  return {
      std::string(adapter::kServersPrefix) + name, version, 1,
      R"({"service":"s","address":"10.0.0.9:80","zone":"z","capacity":3,"warmup_left_ms":0,"born":1,)"
      R"("state":")" +
          state + R"("})"};
}

class Reader {
 public:
  std::vector<direct::ServerReportPtr> Read(
      const std::vector<relay::Object>& objects) {
    FeedUpdate news = reader_->OnObjects(objects, ++revision_);
    unreadable = news.unreadable.size();
    REQUIRE(news.message.has_value());
    return std::get<ServersListed>(*news.message).reports;
  }

  std::size_t unreadable = 0;

 private:
  std::unique_ptr<FeedReader> reader_ =
      FeedReader::Make(direct::Feed::kServers);
  direct::Version revision_ = 0;
};

TEST_CASE("servers that did not change are not decoded again") {
  Reader reader;
  const auto first = reader.Read({Server("i-1", 1), Server("i-3", 1)});
  const auto second = reader.Read(
      {Server("i-1", 1), Server("i-2", 2), Server("i-3", 3, "draining")});
  REQUIRE(second.size() == 3);
  CHECK(second[0] == first[0]);
  CHECK(second[1]->name == "i-2");
  CHECK(second[2] != first[1]);
  CHECK(second[2]->server.draining);
}

TEST_CASE("servers that are gone are left out, also the first and the last") {
  Reader reader;
  reader.Read({Server("i-1", 1), Server("i-2", 1), Server("i-3", 1)});
  const auto left = reader.Read({Server("i-2", 1)});
  REQUIRE(left.size() == 1);
  CHECK(left[0]->name == "i-2");
  CHECK(reader.Read({}).empty());
  CHECK(reader.Read({Server("i-1", 1)}).size() == 1);
}

TEST_CASE("an entry that cannot be read is told once for each version") {
  Reader reader;
  const auto reports = reader.Read({Server("i-1", 1), Server("i-2", 1, "odd")});
  CHECK(reader.unreadable == 1);
  CHECK_FALSE(reports[1]->readable);
  reader.Read({Server("i-1", 1), Server("i-2", 1, "odd")});
  CHECK(reader.unreadable == 0);
  reader.Read({Server("i-1", 1), Server("i-2", 4, "odd")});
  CHECK(reader.unreadable == 1);
}

}  // namespace
}  // namespace gcw::direct_balancer
