#include "gcw/base/endpoint.h"

#include <catch2/catch.hpp>

namespace gcw {
namespace {

TEST_CASE("an endpoint survives conversion to text and sockaddr_in") {
  const Result<Endpoint> parsed = Endpoint::Parse("127.1.2.3:7000");
  REQUIRE(parsed.ok());
  CHECK(ToString(parsed.value()) == "127.1.2.3:7000");
  CHECK(Endpoint::FromSockaddr(parsed.value().ToSockaddr()) == parsed.value());
}

TEST_CASE("malformed endpoints are rejected") {
  for (const char* text : {"", "1.2.3.4", "1.2.3.4:", "1.2.3.4:0",
                           "1.2.3.4:65536", "1.2.3:80", "1.2.3.4:80x"}) {
    INFO(text);
    CHECK_FALSE(Endpoint::Parse(text).ok());
  }
}

}  // namespace
}  // namespace gcw
