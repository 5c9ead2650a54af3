#include <atomic>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <thread>
#include <utility>

#include "absl/time/clock.h"
#include "gcw/platform/http_platform_client.h"
#include "src/platform/http_connection.h"
#include "tests/support/endless_answers.h"
#include "tests/support/raw_server.h"

namespace gcw::platform {
namespace {

constexpr absl::Duration kCallTimeout = absl::Milliseconds(300);
// A call that ends in time may still be late on a busy machine.
constexpr absl::Duration kMargin = absl::Seconds(1);
constexpr char kEmptyList[] = R"({"revision":7,"objects":[]})";

std::unique_ptr<HttpPlatformClient> MakeClient(
    const RawServer& server,
    absl::Duration call_timeout = absl::Seconds(5)) {
  return HttpPlatformClient::Make(
      {.platform = server.endpoint(), .call_timeout = call_timeout});
}

std::string Ok(std::string_view body, std::string_view header = "") {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n" + std::string(header) + "\r\n" + std::string(body);
}

// Answers each request with `answer`, on connections that stay open.
RawServer::Handler Answering(std::string answer) {
  return [answer = std::move(answer)](RawServer::Connection& connection) {
    while (!connection.ReadHead().empty() && connection.Write(answer)) {
    }
  };
}

// The client kept all of an answer in memory, however long it was.
TEST_CASE("an answer without end fails the call") {
  for (const test::EndlessAnswer& answer : test::EndlessAnswers()) {
    INFO(answer.what);
    RawServer server(answer.handler);
    const auto client = MakeClient(server, kCallTimeout);
    CHECK_FALSE(client->List("").ok());
    CHECK_FALSE(client->Get("a").ok());
    CHECK_FALSE(client->Watch("", 1, absl::ZeroDuration()).ok());
    CHECK_FALSE(client->Vms().ok());
  }
}

// The outcome of a write is not known if its answer cannot be read.
TEST_CASE("an answer without end to a write leaves its outcome unknown") {
  for (const test::EndlessAnswer& answer : test::EndlessAnswers()) {
    INFO(answer.what);
    RawServer server(answer.handler);
    const auto client = MakeClient(server);
    const Result<Version> put = client->Put("a", "1", 0);
    REQUIRE_FALSE(put.ok());
    CHECK(put.error().code ==
          (answer.what == std::string("the body of an error")
               ? ResultCode::kPlatformUnavailable
               : ResultCode::kPlatformOutcomeUnknown));
  }
}

// A byte now and then kept a call alive for ever.
TEST_CASE("an answer that comes too slowly fails the call in time") {
  for (const test::EndlessAnswer& answer : test::SlowAnswers()) {
    INFO(answer.what);
    RawServer server(answer.handler);
    const auto client = MakeClient(server, kCallTimeout);
    const absl::Time start = absl::Now();
    const Result<Listing> listing = client->List("");
    CHECK(absl::Now() - start < kCallTimeout + kMargin);
    REQUIRE_FALSE(listing.ok());
    CHECK(listing.error().code == ResultCode::kPlatformUnavailable);
  }
}

// Passes the first bytes of a body, then nothing for longer than the timeout,
// as a decoder does whose process was paused. In that time the rest arrives.
class PausingSink : public BodySink {
 public:
  Status OnBytes(std::string_view bytes) override {
    if (received_ == 0) {
      absl::SleepFor(2 * kCallTimeout);
    }
    received_ += bytes.size();
    return OkStatus();
  }
  std::size_t received() const { return received_; }

 private:
  std::size_t received_ = 0;
};

// After a pause the time of a call is over, but its answer is there.
TEST_CASE("an answer that arrives while the process is paused is read") {
  RawServer server(Answering(Ok(std::string(100'000, ' '))));
  HttpConnection connection({.server = server.endpoint(),
                             .connect_timeout = absl::Seconds(1),
                             .call_timeout = kCallTimeout});
  const HttpConnection::Operation operation(connection);
  PausingSink sink;
  const auto answer = connection.Exchange(
      {.method = "GET", .target = "/", .max_answer_bytes = 1'000'000}, sink);
  REQUIRE(answer.ok());
  CHECK(sink.received() == 100'000);
}

TEST_CASE("a compressed answer is neither asked for nor read") {
  std::string request;
  RawServer server([&](RawServer::Connection& connection) {
    request = connection.ReadHead();
    connection.Write(Ok(kEmptyList, "Content-Encoding: gzip\r\n"));
    connection.ReadHead();
  });
  const auto client = MakeClient(server);
  const Result<Listing> listing = client->List("");
  REQUIRE_FALSE(listing.ok());
  CHECK(listing.error().code == ResultCode::kPlatformBadAnswer);
  CHECK(request.find("gzip") == std::string::npos);
  CHECK(request.find("deflate") == std::string::npos);
}

TEST_CASE("answers that HTTP allows are read") {
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const std::string& answer :
       {Ok(kEmptyList), "HTTP/1.1 100 Continue\r\n\r\n" + Ok(kEmptyList),
        "HTTP/1.1 102 Processing\r\nA: b\r\n\r\n" + Ok(kEmptyList),
        Ok(kEmptyList, "Content-Encoding: identity\r\n"),
        chunked + "1b\r\n" + kEmptyList + "\r\n0\r\n\r\n",
        chunked + "1b;x=y\r\n" + kEmptyList + "\r\n0\r\nA: b\r\n\r\n",
        std::string("HTTP/1.1 200 OK\r\nStore-Epoch: 0\r\nConnection: close\r\n"
                    "Content-Length: 27\r\n\r\n") +
            kEmptyList}) {
    INFO(answer);
    RawServer server(Answering(answer));
    const auto client = MakeClient(server);
    for (int i = 0; i < 3; ++i) {
      const Result<Listing> listing = client->List("");
      REQUIRE(listing.ok());
      CHECK(listing.value().revision == 7);
    }
  }
}

TEST_CASE("a body that ends with the connection is read") {
  RawServer server([](RawServer::Connection& connection) {
    connection.ReadHead();
    connection.Write(std::string("HTTP/1.1 200 OK\r\n\r\n") + kEmptyList);
  });
  const auto client = MakeClient(server);
  CHECK(client->List("").ok());
  CHECK(client->List("").ok());
}

TEST_CASE("a connection is used again, also after an error status") {
  std::atomic<int> connections = 0;
  RawServer server([&](RawServer::Connection& connection) {
    ++connections;
    bool found = false;
    while (!connection.ReadHead().empty()) {
      connection.Write(found ? Ok(kEmptyList)
                             : "HTTP/1.1 404 Not Found\r\n"
                               "Content-Length: 4\r\n\r\nnone");
      found = !found;
    }
  });
  const auto client = MakeClient(server);
  for (int i = 0; i < 4; ++i) {
    CHECK(client->Get("a").error().code == ResultCode::kNotFound);
    CHECK(client->List("").ok());
  }
  CHECK(connections == 1);
}

TEST_CASE("a connection that the server closed while idle is replaced") {
  RawServer server([&](RawServer::Connection& connection) {
    connection.ReadHead();
    connection.Write(Ok(kEmptyList));
  });
  const auto client = MakeClient(server);
  for (int i = 0; i < 4; ++i) {
    CHECK(client->List("").ok());
    absl::SleepFor(absl::Milliseconds(30));
  }
}

// Bytes after an answer would be taken for the answer to the next call.
TEST_CASE("bytes that follow an answer are not taken for the next one") {
  std::atomic<int> connections = 0;
  RawServer server([&](RawServer::Connection& connection) {
    ++connections;
    connection.ReadHead();
    connection.Write(Ok(kEmptyList) + Ok(R"({"revision":8,"objects":[]})"));
    connection.ReadHead();
  });
  const auto client = MakeClient(server);
  CHECK(client->List("").value().revision == 7);
  CHECK(client->List("").value().revision == 7);
  CHECK(connections == 2);
}

TEST_CASE("a redirect is not followed") {
  std::atomic<int> requests = 0;
  RawServer server([&](RawServer::Connection& connection) {
    while (!connection.ReadHead().empty()) {
      ++requests;
      connection.Write(
          "HTTP/1.1 302 Found\r\nLocation: /other\r\n"
          "Content-Length: 0\r\n\r\n");
    }
  });
  const auto client = MakeClient(server);
  CHECK(client->List("").error().code == ResultCode::kPlatformBadAnswer);
  CHECK(requests == 1);
}

TEST_CASE("a cancelled call ends at once, and the next one is made") {
  std::atomic<int> requests = 0;
  RawServer server([&](RawServer::Connection& connection) {
    while (!connection.ReadHead().empty()) {
      if (++requests > 1) {
        connection.Write(Ok(kEmptyList));
      }
    }
  });
  const auto client = HttpPlatformClient::Make(
      {.platform = server.endpoint(), .call_timeout = absl::Seconds(20)});
  std::thread canceller([&] {
    while (requests == 0) {
      absl::SleepFor(absl::Milliseconds(1));
    }
    client->CancelCall();
  });
  const absl::Time start = absl::Now();
  CHECK(client->List("").error().code == ResultCode::kPlatformUnavailable);
  CHECK(absl::Now() - start < absl::Seconds(10));
  canceller.join();
  CHECK(client->List("").ok());
  // Between two calls there is nothing to cancel.
  client->CancelCall();
  CHECK(client->List("").ok());
}

}  // namespace
}  // namespace gcw::platform
