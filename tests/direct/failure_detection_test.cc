#include <catch2/catch.hpp>

#include "tests/direct/router_fixture.h"

namespace gcw::direct {
namespace {

// Opens a flow whose caller acknowledges answers at once, and sends a request
// that stays unanswered. Returns the cookie of the server.
FlowCookie OpenAndWait(RouterFixture& f, std::uint16_t port) {
  const FlowCookie cookie = f.Open(port);
  f.Send(f.Data(port, cookie, 1001, 500, 100));
  f.AdvanceTime(absl::Milliseconds(20));
  f.Send(f.Data(port, cookie, 1101, 900, 0));  // Acknowledges an answer.
  f.Send(f.Data(port, cookie, 1101, 900, 100));
  return cookie;
}

// Opens two flows on one server, each with an unanswered request. Returns the
// cookie of the server.
FlowCookie OpenTwoAndWait(RouterFixture& f) {
  const FlowCookie cookie = OpenAndWait(f, 1);
  std::uint16_t port = 2;
  while (f.Open(port) != cookie) {
    ++port;
  }
  f.Send(f.Data(port, cookie, 1001, 500, 100));
  f.Send(f.Data(port, cookie, 1101, 900, 0));
  f.Send(f.Data(port, cookie, 1101, 900, 100));
  // The caller of the first flow got its answer and sends another request.
  f.Send(f.Data(1, cookie, 1201, 1300, 0));
  f.Send(f.Data(1, cookie, 1201, 1300, 100));
  return cookie;
}

// A server that loses power or its network sends no resets. Without probes, its
// flows would hang until their callers time out.
TEST_CASE("flows of a server that turns silent are reset within a second") {
  RouterFixture f;
  const FlowCookie cookie = OpenTwoAndWait(f);
  const std::string name = f.NameOf(cookie);
  f.silent = {f.FindServer(name).address};
  const absl::Time dark = f.now;
  while (f.resets.empty() && f.now - dark < absl::Seconds(2)) {
    f.AdvanceTime(absl::Milliseconds(10));
  }
  REQUIRE(f.resets.size() >= 2);
  CHECK(f.resets[0].acknowledged >= 900);
  CHECK(f.now - dark < absl::Seconds(1));
  for (std::uint16_t port = 10; port < 30; ++port) {
    CHECK(f.NameOf(f.Open(port)) != name);
  }
  const Decision decision = f.Send(f.Data(1, cookie, 1101, 900));
  CHECK(decision.reason == Reason::kServerSilent);
}

TEST_CASE("a crashed server is detected by refused probes") {
  RouterFixture f;
  const FlowCookie cookie = OpenTwoAndWait(f);
  f.refusing = {f.FindServer(f.NameOf(cookie)).address};
  f.AdvanceTime(absl::Milliseconds(300));
  CHECK(f.resets.size() >= 2);
  CHECK(f.Send(f.Data(1, cookie, 1101, 900)).reason == Reason::kServerRefuses);
}

// Unanswered data looks the same for a slow server and a lost one. A slow
// server still accepts probes.
TEST_CASE("a slow server is probed rarely and keeps its flows") {
  RouterFixture f;
  const FlowCookie cookie = OpenAndWait(f, 1);
  f.AdvanceTime(absl::Seconds(3));
  f.Send(f.Data(1, cookie, 1101, 900, 100));  // A retransmission.
  f.AdvanceTime(absl::Seconds(1));
  CHECK(f.resets.empty());
  CHECK(f.probes_made <= 5);
  CHECK(f.Send(f.Data(1, cookie, 1101, 900, 100)).action == Action::kForward);
}

// A caller may acknowledge an answer only with its next request. A single flow
// without an acknowledgement therefore does not prove that the server has not
// answered.
TEST_CASE("a server with one late flow is probed after a retransmission") {
  RouterFixture f;
  const FlowCookie cookie = OpenAndWait(f, 1);
  f.AdvanceTime(absl::Milliseconds(190));
  CHECK(f.probes_made == 0);
  f.Send(f.Data(1, cookie, 1101, 900, 100));
  CHECK(f.probes_made == 1);
}

// Callers that don't acknowledge short answers at once look as if they were
// still waiting for the answer.
TEST_CASE("flows without acknowledged answers raise no suspicion") {
  RouterFixture f;
  for (std::uint16_t port = 1; port < 20; ++port) {
    f.Send(f.Data(port, f.Open(port), 1001, 500, 100));
  }
  f.AdvanceTime(absl::Seconds(2));
  CHECK(f.probes_made == 0);
}

TEST_CASE("progress of another flow clears a suspicion") {
  RouterFixture f;
  const FlowCookie cookie = OpenAndWait(f, 1);
  f.silent = {f.FindServer(f.NameOf(cookie)).address};
  f.AdvanceTime(absl::Milliseconds(250));
  // Probes stay unanswered, but callers still get answers from the server.
  f.Send(f.Data(2, cookie, 1001, 500, 0));
  f.Send(f.Data(2, cookie, 1001, 700, 0));
  f.AdvanceTime(absl::Milliseconds(300));
  CHECK(f.resets.empty());
}

TEST_CASE("an unanswered SYN makes the server a suspect") {
  RouterFixture f;
  const Decision decision = f.Send(f.Syn(1));
  const std::string name = f.NameOf(decision.cookie);
  f.silent = {f.FindServer(name).address};
  f.AdvanceTime(absl::Milliseconds(150));
  for (std::uint16_t port = 10; port < 20; ++port) {
    CHECK(f.NameOf(f.Open(port)) != name);
  }
}

TEST_CASE("a daemon that reaches no server resets no flows") {
  RouterFixture f;
  const FlowCookie cookie = OpenAndWait(f, 1);
  OpenAndWait(f, 2);
  for (const BackendServer& server : f.servers) {
    f.silent.push_back(server.address);
  }
  for (std::uint16_t port = 10; port < 20; ++port) {
    f.Send(f.Syn(port));
    f.Send(f.Syn(static_cast<std::uint16_t>(port + 100), kPhotos));
  }
  f.AdvanceTime(absl::Seconds(3));
  CHECK(f.resets.empty());
  CHECK(f.Send(f.Data(1, cookie, 1101, 900)).action == Action::kForward);
}

// A queue on the daemon's own link delays all probes beyond their timeouts,
// although the servers are healthy.
TEST_CASE("failed probes cause no resets while control probes fail too") {
  RouterFixture f;
  OpenAndWait(f, 1);
  OpenAndWait(f, 2);
  // No probe is answered, as if each were delayed beyond its timeout.
  for (const BackendServer& server : f.servers) {
    f.silent.push_back(server.address);
  }
  f.AdvanceTime(absl::Milliseconds(900));
  f.silent.clear();
  f.AdvanceTime(absl::Seconds(1));
  CHECK(f.resets.empty());
}

TEST_CASE("a zone that is cut off loses its flows and gets no new ones") {
  RouterFixture f;
  f.zones_out = {"near"};
  f.Restart();
  const FlowCookie cookie = OpenTwoAndWait(f);  // In zone "far".
  f.router->ApplyZonesOut({}, ++f.revision, f.now);
  f.silent = {f.FindServer("f1").address, f.FindServer("f2").address,
              f.FindServer("p2").address};
  const absl::Time cut = f.now;
  while (f.resets.empty() && f.now - cut < absl::Seconds(2)) {
    f.AdvanceTime(absl::Milliseconds(10));
  }
  CHECK(f.now - cut < absl::Seconds(1));
  CHECK(f.Send(f.Data(1, cookie, 1101, 900)).action == Action::kReset);
  CHECK(f.NameOf(f.Open(2))[0] == 'n');
  // After the partition heals, probes succeed and the servers are used again.
  f.silent.clear();
  f.AdvanceTime(absl::Seconds(1));
  const std::vector<std::string> out{"near"};
  f.router->ApplyZonesOut(out, ++f.revision, f.now);
  CHECK(f.NameOf(f.Open(3))[0] == 'f');
}

TEST_CASE("a daemon that cannot reach one minor service can still serve") {
  RouterFixture f;
  f.RemoveServer("p1");
  f.AdvanceTime(absl::Seconds(4));
  for (std::uint16_t port = 1; port < 20; ++port) {
    OpenAndWait(f, port);
  }
  f.Send(f.Syn(60, kPhotos));
  f.silent = {f.FindServer("p2").address};
  f.AdvanceTime(absl::Seconds(1));
  CHECK(f.Send(f.Syn(61, kPhotos)).reason == Reason::kNoServer);
  CHECK(f.router->can_serve());
}

// The daemon's own zone is out of service, and the other zone cannot be
// reached. Other daemons may reach the other zone, so the flows must survive
// until their packets go to those daemons.
TEST_CASE("a daemon that reaches no servers in service cannot serve") {
  RouterFixture f;
  f.zones_out = {"near"};
  f.Restart();
  CHECK(f.router->can_serve());
  const FlowCookie cookie = OpenAndWait(f, 1);
  f.Send(f.Syn(50));
  f.Send(f.Syn(60, kPhotos));
  f.silent = {f.FindServer("f1").address, f.FindServer("f2").address,
              f.FindServer("p2").address};
  for (std::uint16_t port = 70; port < 80; ++port) {
    f.Send(f.Syn(port));
  }
  f.AdvanceTime(absl::Seconds(2));
  CHECK_FALSE(f.router->can_serve());
  // Other daemons may reach the servers: no flow is reset, and a SYN is dropped
  // so that its caller retransmits it.
  CHECK(f.resets.empty());
  CHECK(f.Send(f.Data(1, cookie, 1101, 900)).action == Action::kForward);
  const Decision left = f.Send(f.Syn(90));
  CHECK(left.reason == Reason::kLeftToOthers);
  CHECK(left.action == Action::kDrop);
  f.silent.clear();
  f.AdvanceTime(absl::Seconds(2));
  CHECK(f.router->can_serve());
}

// Requests to a lost server stay unanswered and look like queued requests, but
// must not count as overload.
TEST_CASE("requests left behind by a lost server cause no refusals") {
  RouterFixture f;
  f.configuration.version = 2;
  for (Route& route : f.configuration.routes) {
    route.target_latency = absl::Milliseconds(200);
  }
  f.router->ApplyConfiguration(f.configuration, ++f.revision, f.now);
  f.router->SetFleetPosition({.daemons = 26, .rank = 0}, f.now);
  // Many unanswered requests, and one flow that is answered quickly.
  const FlowCookie answered = OpenAndWait(f, 1);
  for (std::uint16_t port = 2; port < 20; ++port) {
    OpenAndWait(f, port);
  }
  std::uint32_t sequence = 1201;
  std::uint32_t answer = 1300;
  for (std::uint16_t port = 100; port < 200; ++port) {
    f.Send(f.Data(1, answered, sequence, answer, 0));
    f.Send(f.Data(1, answered, sequence, answer, 100));
    sequence += 100;
    answer += 400;
    f.AdvanceTime(absl::Milliseconds(20));
    CHECK(f.Send(f.Syn(port)).reason != Reason::kOverloaded);
  }
}

}  // namespace
}  // namespace gcw::direct
