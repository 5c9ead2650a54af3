#include "src/daemon/http_endpoint.h"

#include <httplib.h>

#include <catch2/catch.hpp>
#include <stdexcept>
#include <string>

#include "absl/time/clock.h"
#include "tests/support/idle_connections.h"

namespace gcw::daemon {
namespace {

constexpr std::uint32_t kLoopback = 0x7f000001;

std::unique_ptr<HttpEndpoint> MakeEndpoint(HttpEndpoint::Handler handler) {
  auto made = HttpEndpoint::Make({.listen = {kLoopback, 0}, .path = "/thing"},
                                 std::move(handler));
  REQUIRE(made.ok());
  return std::move(made).value();
}

// The status of the answer to GET /thing, or 0 if there is none in a second.
int StatusOf(const HttpEndpoint& endpoint) {
  httplib::Client client("127.0.0.1", endpoint.endpoint().port);
  client.set_connection_timeout(std::chrono::seconds(1));
  client.set_read_timeout(std::chrono::seconds(1));
  const auto answer = client.Get("/thing");
  return answer ? answer->status : 0;
}

// How long it takes until none of `connections` is open; infinite after 5 s.
absl::Duration TimeUntilClosed(IdleConnections& connections) {
  const absl::Time start = absl::Now();
  while (connections.CountOpen() > 0) {
    if (absl::Now() - start > absl::Seconds(5)) {
      return absl::InfiniteDuration();
    }
    absl::SleepFor(absl::Milliseconds(10));
  }
  return absl::Now() - start;
}

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

// Requests that are not GET of the path got the answer of one that is.
TEST_CASE("an endpoint refuses what is not a GET of its path") {
  const auto endpoint = MakeEndpoint([] { return HttpAnswer{200, "text"}; });
  httplib::Client client("127.0.0.1", endpoint->endpoint().port);
  CHECK(client.Get("/thing?a=b")->status == 200);
  const auto head = client.Head("/thing");
  CHECK(head->status == 200);
  CHECK(head->body.empty());
  CHECK(head->get_header_value("Content-Length") == "4");
  CHECK(head->get_header_value("Connection") == "close");
  CHECK(client.Post("/thing")->status == 404);
  CHECK(client.Put("/thing")->status == 404);
  CHECK(client.Delete("/thing")->status == 404);
  CHECK(client.Options("/thing")->status == 404);
  CHECK(client.Get("/thing/more")->status == 404);
  CHECK(client.Post("/thing", std::string(100'000, 'x'), "a/b")->status == 404);
}

// A malformed request ended the connection without an answer.
TEST_CASE("a malformed request is answered with 400") {
  const auto endpoint = MakeEndpoint([] { return HttpAnswer{}; });
  for (const char* request : {"nonsense\r\n\r\n", "GET /thing HTTP/3.1\r\n\r\n",
                              "FOO /thing HTTP/1.1\r\n\r\n"}) {
    INFO(request);
    IdleConnections client;
    client.Open(endpoint->endpoint(), 1);
    client.SendOnAll(request);
    CHECK(client.ReadAnswer().find("HTTP/1.1 400 Bad Request\r\n") == 0);
  }
}

// A request head without an end filled the memory.
TEST_CASE("a request head that is too long is refused") {
  const auto endpoint = MakeEndpoint([] { return HttpAnswer{}; });
  IdleConnections client;
  client.Open(endpoint->endpoint(), 1);
  client.SendOnAll("GET /thing HTTP/1.1\r\nX: " + std::string(20'000, 'x'));
  CHECK(client.ReadAnswer().find("HTTP/1.1 431 ") == 0);
}

// An exception of the handler ended the process.
TEST_CASE("a handler that throws is answered with 500") {
  const auto endpoint = MakeEndpoint(
      []() -> HttpAnswer { throw std::runtime_error("no value"); });
  CHECK(StatusOf(*endpoint) == 500);
  CHECK(StatusOf(*endpoint) == 500);
}

// Idle connections held the threads and delayed the answer to others.
TEST_CASE("idle connections are closed and delay no answer") {
  const auto endpoint = MakeEndpoint([] { return HttpAnswer{200, "text"}; });
  IdleConnections idle;
  idle.Open(endpoint->endpoint(), 500);
  const absl::Time start = absl::Now();
  CHECK(StatusOf(*endpoint) == 200);
  CHECK(absl::Now() - start < absl::Milliseconds(500));
  CHECK(TimeUntilClosed(idle) < absl::Seconds(2));
}

// A client that did not read its answer held a thread.
TEST_CASE("clients that do not read a long answer delay no other") {
  std::atomic<int> calls = 0;
  const std::string text(std::size_t{32} << 20, 'x');
  const auto endpoint = MakeEndpoint([&] {
    // The first answers are too long for the buffers of the kernel.
    return HttpAnswer{200, calls++ < 3 ? text : ""};
  });
  IdleConnections clients;
  clients.Open(endpoint->endpoint(), 3);
  clients.SendOnAll("GET /thing HTTP/1.1\r\n\r\n");
  while (calls < 3) {
    absl::SleepFor(absl::Milliseconds(1));
  }
  CHECK(StatusOf(*endpoint) == 200);
  // The endpoint gives them 2 s.
  absl::SleepFor(absl::Milliseconds(2500));
  CHECK(clients.CountOpen() == 0);
}

// A stop waited for the queue of idle connections.
TEST_CASE("an endpoint with idle connections stops at once") {
  auto endpoint = MakeEndpoint([] { return HttpAnswer{}; });
  IdleConnections idle;
  idle.Open(endpoint->endpoint(), 100);
  absl::SleepFor(absl::Milliseconds(50));
  const absl::Time start = absl::Now();
  endpoint.reset();
  CHECK(absl::Now() - start < absl::Milliseconds(500));
}

}  // namespace
}  // namespace gcw::daemon
