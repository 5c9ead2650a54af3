#include <catch2/catch.hpp>

#include "tests/direct/router_fixture.h"

namespace gcw::direct {
namespace {

// A flow whose answers its caller acknowledges, with one request waiting.
FlowCookie OpenAndWait(RouterFixture& f, std::uint16_t port) {
  const FlowCookie cookie = f.Open(port);
  f.Send(f.Data(port, cookie, 1001, 500, 100));
  f.Pass(absl::Milliseconds(20));
  f.Send(f.Data(port, cookie, 1101, 900, 0));  // Shows that it speaks.
  f.Send(f.Data(port, cookie, 1101, 900, 100));
  return cookie;
}

// Two flows on one server that both have a request waiting.
FlowCookie TwoWait(RouterFixture& f) {
  const FlowCookie cookie = OpenAndWait(f, 1);
  std::uint16_t port = 2;
  while (f.Open(port) != cookie) {
    ++port;
  }
  f.Send(f.Data(port, cookie, 1001, 500, 100));
  f.Send(f.Data(port, cookie, 1101, 900, 0));
  f.Send(f.Data(port, cookie, 1101, 900, 100));
  // The first flow's answer came in, and it asks again.
  f.Send(f.Data(1, cookie, 1201, 1300, 0));
  f.Send(f.Data(1, cookie, 1201, 1300, 100));
  return cookie;
}

TEST_CASE("a dark server is found and its flows are reset within a second") {
  RouterFixture f;
  const FlowCookie cookie = TwoWait(f);
  const std::string name = f.NameOf(cookie);
  f.silent = {f.Find(name).address};
  const absl::Time dark = f.now;
  while (f.resets.empty() && f.now - dark < absl::Seconds(2)) {
    f.Pass(absl::Milliseconds(10));
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

TEST_CASE("a crashed server is found by its refusal") {
  RouterFixture f;
  const FlowCookie cookie = TwoWait(f);
  f.refusing = {f.Find(f.NameOf(cookie)).address};
  f.Pass(absl::Milliseconds(300));
  CHECK(f.resets.size() >= 2);
  CHECK(f.Send(f.Data(1, cookie, 1101, 900)).reason == Reason::kServerRefuses);
}

TEST_CASE("a slow server is probed now and then and loses no flow") {
  RouterFixture f;
  const FlowCookie cookie = OpenAndWait(f, 1);
  f.Pass(absl::Seconds(3));
  f.Send(f.Data(1, cookie, 1101, 900, 100));  // Repeated by the caller.
  f.Pass(absl::Seconds(1));
  CHECK(f.resets.empty());
  CHECK(f.probes_made <= 5);
  CHECK(f.Send(f.Data(1, cookie, 1101, 900, 100)).action == Action::kForward);
}

TEST_CASE("one late answer raises no suspicion until its request is repeated") {
  RouterFixture f;
  const FlowCookie cookie = OpenAndWait(f, 1);
  f.Pass(absl::Milliseconds(190));
  CHECK(f.probes_made == 0);
  f.Send(f.Data(1, cookie, 1101, 900, 100));
  CHECK(f.probes_made == 1);
}

TEST_CASE("short answers that leave no trace raise no suspicion") {
  RouterFixture f;
  for (std::uint16_t port = 1; port < 20; ++port) {
    f.Send(f.Data(port, f.Open(port), 1001, 500, 100));
  }
  f.Pass(absl::Seconds(2));
  CHECK(f.probes_made == 0);
}

TEST_CASE("progress of another flow clears a suspicion") {
  RouterFixture f;
  const FlowCookie cookie = OpenAndWait(f, 1);
  f.silent = {f.Find(f.NameOf(cookie)).address};
  f.Pass(absl::Milliseconds(250));
  // One way only: probes get no answer, yet callers hear from the server.
  f.Send(f.Data(2, cookie, 1001, 500, 0));
  f.Send(f.Data(2, cookie, 1001, 700, 0));
  f.Pass(absl::Milliseconds(300));
  CHECK(f.resets.empty());
}

TEST_CASE("a first packet without an answer raises a suspicion") {
  RouterFixture f;
  const Decision decision = f.Send(f.Syn(1));
  const std::string name = f.NameOf(decision.cookie);
  f.silent = {f.Find(name).address};
  f.Pass(absl::Milliseconds(150));
  for (std::uint16_t port = 10; port < 20; ++port) {
    CHECK(f.NameOf(f.Open(port)) != name);
  }
}

TEST_CASE(
    "a daemon that reaches nobody resets nothing and asks for no packets") {
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
  f.Pass(absl::Seconds(3));
  CHECK(f.resets.empty());
  CHECK(f.Send(f.Data(1, cookie, 1101, 900)).action == Action::kForward);
}

TEST_CASE("a probe proves nothing while the own link holds packets up") {
  RouterFixture f;
  OpenAndWait(f, 1);
  OpenAndWait(f, 2);
  // Every probe is late, as behind a queue, for longer than the timeouts.
  for (const BackendServer& server : f.servers) {
    f.silent.push_back(server.address);
  }
  f.Pass(absl::Milliseconds(900));
  f.silent.clear();
  f.Pass(absl::Seconds(1));
  CHECK(f.resets.empty());
}

TEST_CASE("a cut zone loses its flows, and new ones stay inside") {
  RouterFixture f;
  f.zones_out = {"near"};
  f.Restart();
  const FlowCookie cookie = TwoWait(f);  // Placed far away.
  f.router->ApplyZonesOut({}, ++f.revision);
  f.silent = {f.Find("f1").address, f.Find("f2").address, f.Find("p2").address};
  const absl::Time cut = f.now;
  while (f.resets.empty() && f.now - cut < absl::Seconds(2)) {
    f.Pass(absl::Milliseconds(10));
  }
  CHECK(f.now - cut < absl::Seconds(1));
  CHECK(f.Send(f.Data(1, cookie, 1101, 900)).action == Action::kReset);
  CHECK(f.NameOf(f.Open(2))[0] == 'n');
  // It heals: probes notice, and the servers are used again.
  f.silent.clear();
  f.Pass(absl::Seconds(1));
  const std::vector<std::string> out{"near"};
  f.router->ApplyZonesOut(out, ++f.revision);
  CHECK(f.NameOf(f.Open(3))[0] == 'f');
}

TEST_CASE("a daemon that lacks only a minor service keeps its packets") {
  RouterFixture f;
  f.Drop("p1");
  f.Pass(absl::Seconds(4));
  for (std::uint16_t port = 1; port < 20; ++port) {
    OpenAndWait(f, port);
  }
  f.Send(f.Syn(60, kPhotos));
  f.silent = {f.Find("p2").address};
  f.Pass(absl::Seconds(1));
  CHECK(f.Send(f.Syn(61, kPhotos)).reason == Reason::kNoServer);
  CHECK(f.router->can_serve());
}

TEST_CASE("a zone that is out and cannot be left makes the daemon unready") {
  RouterFixture f;
  f.zones_out = {"near"};
  f.Restart();
  CHECK(f.router->can_serve());
  const FlowCookie cookie = OpenAndWait(f, 1);
  f.Send(f.Syn(50));
  f.Send(f.Syn(60, kPhotos));
  f.silent = {f.Find("f1").address, f.Find("f2").address, f.Find("p2").address};
  for (std::uint16_t port = 70; port < 80; ++port) {
    f.Send(f.Syn(port));
  }
  f.Pass(absl::Seconds(2));
  CHECK_FALSE(f.router->can_serve());
  // Others may reach the servers: nothing is reset, the caller comes again.
  CHECK(f.resets.empty());
  CHECK(f.Send(f.Data(1, cookie, 1101, 900)).action == Action::kForward);
  const Decision left = f.Send(f.Syn(90));
  CHECK(left.reason == Reason::kLeftToOthers);
  CHECK(left.action == Action::kDrop);
  f.silent.clear();
  f.Pass(absl::Seconds(2));
  CHECK(f.router->can_serve());
}

TEST_CASE("requests that a lost server leaves behind turn nobody away") {
  RouterFixture f;
  f.configuration.version = 2;
  for (Route& route : f.configuration.routes) {
    route.target_latency = absl::Milliseconds(200);
  }
  f.router->ApplyConfiguration(f.configuration, ++f.revision);
  f.router->SetFleetPosition({.daemons = 26, .rank = 0}, f.now);
  // Many requests that nobody answers, and one flow that is answered quickly.
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
    f.Pass(absl::Milliseconds(20));
    CHECK(f.Send(f.Syn(port)).reason != Reason::kOverloaded);
  }
}

}  // namespace
}  // namespace gcw::direct
