#include "src/daemon/http_endpoint.h"

#include <httplib.h>

#include <catch2/catch.hpp>

namespace gcw::daemon {
namespace {

constexpr std::uint32_t kLoopback = 0x7f000001;

TEST_CASE("an endpoint answers its path with the handler's response") {
  auto endpoint = HttpEndpoint::Make(
      {.listen = {kLoopback, 0}, .path = "/thing", .content_type = "a/b"}, [] {
        return HttpAnswer{503, "text"};
      });
  REQUIRE(endpoint.ok());
  httplib::Client client("127.0.0.1", endpoint.value()->endpoint().port);
  const auto answer = client.Get("/thing");
  REQUIRE(answer);
  CHECK(answer->status == 503);
  CHECK(answer->body == "text");
  CHECK(answer->get_header_value("Content-Type") == "a/b");
  CHECK(client.Get("/other")->status == 404);
}

// httplib::Server::stop() has no effect before the server runs, so an endpoint
// that did not wait for its server to run would hang in the destructor.
TEST_CASE("an endpoint can be destroyed right after it was made") {
  for (int i = 0; i < 20; ++i) {
    auto endpoint = HttpEndpoint::Make({.listen = {kLoopback, 0}, .path = "/"},
                                       [] { return HttpAnswer{}; });
    REQUIRE(endpoint.ok());
  }
}

TEST_CASE("a port in use fails with kBindFailed") {
  const auto handler = [] { return HttpAnswer{}; };
  auto first =
      HttpEndpoint::Make({.listen = {kLoopback, 0}, .path = "/"}, handler);
  REQUIRE(first.ok());
  auto second = HttpEndpoint::Make(
      {.listen = first.value()->endpoint(), .path = "/"}, handler);
  REQUIRE_FALSE(second.ok());
  CHECK(second.error().code == ResultCode::kBindFailed);
}

}  // namespace
}  // namespace gcw::daemon
