#include <catch2/catch.hpp>

#include <algorithm>

#include "gcw/base/hash.h"
#include "tests/lab/fixture.h"

namespace gcw::lab {
namespace {

LoadSettings RequestsOnly(double request_load = 0.4) {
  LoadSettings load;
  load.flows_per_s = 0;
  load.request_load = request_load;
  return load;
}

ServerIndex LeastBusy(const Fixture& f, const InnerPacket& packet) {
  const auto& service =
      f.topology.services[f.topology.FindServiceByAddress(packet.destination)];
  return *std::min_element(service.servers.begin(), service.servers.end(),
                           [&](ServerIndex a, ServerIndex b) {
                             return f.servers[a]->load().running <
                                    f.servers[b]->load().running;
                           });
}

// The address of the caller whose request reached a daemon last.
Endpoint LastCaller(const Fixture& f) {
  return DecodePacket(f.from_callers.back())->source;
}

AnswerMessage RightAnswer(const Fixture& f, const std::string& id) {
  AnswerMessage answer;
  answer.id = id;
  answer.service = f.topology.services[0].name;
  answer.body = AnswerBody(id, f.topology.services[0].answer_bytes);
  answer.checksum = StableHash(std::span<const std::uint8_t>(answer.body));
  return answer;
}

std::string SendOne(Fixture& f, bool idempotent = false) {
  std::string id = f.callers.SendOne(0, 0, idempotent);
  f.scheduler.Advance(absl::Milliseconds(10));
  return id;
}

TEST_CASE("requests to idle servers are answered completely and run once") {
  Fixture f(RequestsOnly());
  f.route = [&](const InnerPacket& p, DaemonIndex) { return LeastBusy(f, p); };
  f.callers.Start(f.scheduler.now() + absl::Seconds(10));
  for (int i = 0; i < 12; ++i) {
    f.scheduler.Advance(absl::Seconds(1));
    f.meter.EndWindow(true);
  }
  const RequestTotals& totals = f.requests.totals();
  CHECK(totals.sent > 500);
  CHECK(totals.delivered + totals.unanswered == totals.sent);
  CHECK(totals.delivered > totals.sent * 9 / 10);
  CHECK(totals.run_twice + totals.false_not_run + totals.wrong_answer == 0);
  CHECK(f.callers.pending() == 0);
}

TEST_CASE(
    "requests.run_twice increases for a non-idempotent id on two servers") {
  Fixture f;
  const RequestInfo non_idempotent{0, 1, false};
  const RequestInfo idempotent{0, 1, true};
  f.requests.Sent("edit", non_idempotent, 0);
  f.requests.Sent("read", idempotent, 0);
  for (const char* id : {"edit", "read"}) {
    f.SendRequest(0, id, std::string(id) + "/1");
    f.SendRequest(1, id, std::string(id) + "/2");
  }
  CHECK(f.requests.totals().run_twice == 1);
  f.SendRequest(2, "edit", "edit/3");
  // Each id is counted at most once.
  CHECK(f.requests.totals().run_twice == 1);
}

TEST_CASE("a datagram that the network duplicates counts as one run") {
  Fixture f;
  f.requests.Sent("edit", {0, 1, false}, 0);
  f.SendRequest(0, "edit", "edit/1");
  f.SendRequest(0, "edit", "edit/1");
  CHECK(f.requests.totals().run_twice == 0);
  CHECK(f.requests.totals().attempts == 1);
}

TEST_CASE(
    "requests.false_not_run increases for a run before or after the refusal") {
  for (const bool run_first : {true, false}) {
    Fixture f(RequestsOnly());
    const std::string id = SendOne(f);
    if (run_first) {
      f.SendRequest(0, id, "r");
    }
    f.ToCaller(LastCaller(f), RefusalMessage{id, 400, true});
    CHECK(f.requests.totals().refused == 1);
    CHECK(f.requests.totals().false_not_run == (run_first ? 1 : 0));
    f.SendRequest(1, id, "r2");
    CHECK(f.requests.totals().false_not_run == 1);
  }
}

TEST_CASE(
    "requests.wrong_answer increases for the answer or body of another "
    "request") {
  Fixture f(RequestsOnly());
  const std::string id = SendOne(f);
  const Endpoint caller = LastCaller(f);
  f.ToCaller(caller, RightAnswer(f, "another"));
  CHECK(f.requests.totals().wrong_answer == 1);
  AnswerMessage wrong_body = RightAnswer(f, id);
  wrong_body.body[5] ^= 1;
  f.ToCaller(caller, wrong_body);
  CHECK(f.requests.totals().wrong_answer == 2);
  CHECK(f.requests.totals().delivered == 0);
}

TEST_CASE("requests.wrong_answer increases for an answer of another service") {
  Fixture f(RequestsOnly());
  const std::string id = SendOne(f);
  f.ToCaller(LastCaller(f), RightAnswer(f, id), 1);
  CHECK(f.requests.totals().wrong_answer == 1);
}

TEST_CASE(
    "requests.unknown_outcome increases for unknown outcomes and missing "
    "answers") {
  Fixture f(RequestsOnly());
  const std::string id = SendOne(f);
  f.ToCaller(LastCaller(f), RefusalMessage{id, 420, false});
  CHECK(f.requests.totals().unknown_outcome == 1);
  SendOne(f);
  f.scheduler.Advance(absl::Seconds(2));
  CHECK(f.requests.totals().unknown_outcome == 2);
  CHECK(f.requests.totals().unanswered == 1);
}

TEST_CASE("requests.late increases for a right answer after the deadline") {
  Fixture f(RequestsOnly());
  const std::string id = SendOne(f);
  f.scheduler.Advance(absl::Milliseconds(1100));
  f.ToCaller(LastCaller(f), RightAnswer(f, id));
  CHECK(f.requests.totals().late == 1);
  CHECK(f.requests.totals().delivered == 0);
}

TEST_CASE("requests.cut_by_planned_stop increases for a daemon's shutdown") {
  for (const bool planned : {true, false}) {
    Fixture f(RequestsOnly());
    SendOne(f);
    for (DaemonIndex i = 0; i < 4; ++i) {
      f.world.daemon(i).state = DaemonState::kDead;
      f.world.daemon(i).ended = f.scheduler.now();
      if (planned) {
        f.world.daemon(i).stop_began = f.scheduler.now();
      }
    }
    f.scheduler.Advance(absl::Seconds(2));
    CHECK(f.requests.totals().cut_by_planned_stop == (planned ? 1 : 0));
  }
}

TEST_CASE("requests.cut_by_planned_stop increases for a drained server") {
  Fixture f(RequestsOnly());
  const std::string id = SendOne(f);
  f.SendRequest(0, id, "r");
  f.world.server(0).leaving_since = f.scheduler.now();
  f.scheduler.Advance(absl::Seconds(2));
  CHECK(f.requests.totals().cut_by_planned_stop == 1);
}

TEST_CASE(
    "a drain after the deadline or with a paused daemon cuts no request") {
  Fixture drained(RequestsOnly());
  const std::string id = SendOne(drained);
  drained.SendRequest(0, id, "r");
  drained.scheduler.Advance(absl::Milliseconds(1100));
  drained.world.server(0).leaving_since = drained.scheduler.now();
  drained.scheduler.Advance(absl::Seconds(1));
  CHECK(drained.requests.totals().unanswered == 1);
  CHECK(drained.requests.totals().cut_by_planned_stop == 0);

  Fixture paused(RequestsOnly());
  const std::string other = SendOne(paused);
  paused.SendRequest(0, other, "r");
  paused.world.server(0).leaving_since = paused.scheduler.now();
  paused.world.daemon(0).resumed = absl::InfiniteFuture();
  paused.scheduler.Advance(absl::Seconds(2));
  CHECK(paused.requests.totals().unanswered == 1);
  CHECK(paused.requests.totals().cut_by_planned_stop == 0);
}

TEST_CASE("a run lost by a server's death does not count for a planned stop") {
  Fixture f(RequestsOnly());
  const std::string id = SendOne(f);
  f.SendRequest(0, id, "r", 0, 60000);
  f.world.server(0).leaving_since = f.scheduler.now();
  f.servers[0]->Kill();
  f.scheduler.Advance(absl::Seconds(2));
  CHECK(f.requests.totals().unknown_outcome == 1);
  CHECK(f.requests.totals().cut_by_planned_stop == 0);
}

TEST_CASE("a repeat is sent with the same id through another daemon") {
  LoadSettings load = RequestsOnly();
  load.repeat_after = absl::Milliseconds(300);
  Fixture f(load);
  std::vector<DaemonIndex> daemons;
  f.route = [&](const InnerPacket& p, DaemonIndex daemon) {
    daemons.push_back(daemon);
    CHECK(std::get<RequestMessage>(*Decode(p.payload)).deadline_ms <= 1000);
    return ServerIndex{0};
  };
  f.world.server(0).up = false;
  f.callers.SendOne(0, 0, false);
  f.scheduler.Advance(absl::Seconds(2));
  REQUIRE(daemons.size() == 2);
  CHECK(daemons[0] != daemons[1]);
  CHECK(f.requests.totals().sent == 1);
}

TEST_CASE("service.<organisation> falls when requests are not delivered") {
  for (const bool served : {true, false}) {
    Fixture f(RequestsOnly(0.3));
    if (served) {
      f.route = [&](const InnerPacket& p, DaemonIndex) {
        return LeastBusy(f, p);
      };
    }
    f.callers.Start(f.scheduler.now() + absl::Seconds(6));
    for (int i = 0; i < 400; ++i) {
      f.scheduler.Advance(absl::Milliseconds(20));
      std::vector<ServerLoad> loads;
      for (const auto& server : f.servers) {
        loads.push_back(server->load());
      }
      f.meter.Sample(loads, absl::Milliseconds(20));
      if (i % 50 == 49) {
        f.meter.EndWindow(true);
      }
    }
    const double share = f.meter.ServiceShare("valtellina");
    CHECK(served == (share > 0.9));
    CHECK(served == (share > 0.0));
  }
}

TEST_CASE(
    "service.<organisation> is relative to what the servers could process") {
  Fixture f;
  const double slots = 3 * 14;
  const absl::Duration span = absl::Seconds(1);
  std::vector<ServerLoad> loads(f.servers.size(), {0, 3, false});
  f.meter.Sample(loads, span);
  // Offers twice the work that the slots can process: half of the requests
  // have a worth of 4, half a worth of 1.
  for (int i = 0; i < slots; ++i) {
    f.meter.Offered(0, 4, span);
    f.meter.Offered(0, 1, span);
  }
  for (int i = 0; i < slots; ++i) {
    f.meter.Delivered(0, 1, absl::Milliseconds(i + 1), 0);
  }
  f.meter.EndWindow(true);
  CHECK(f.meter.ServiceShare("valtellina") == Approx(0.25));
  CHECK(f.meter.AnswerTime(0, 0.5) == absl::Milliseconds(21));
  CHECK(f.meter.AnswerTime(0, 1) == absl::Milliseconds(42));
  CHECK(f.meter.AnswerTime(1, 1) == absl::ZeroDuration());
}

TEST_CASE(
    "service_settled.<organisation> leaves out windows in which a zone "
    "changed") {
  Fixture f;
  const std::vector<ServerLoad> loads(f.servers.size(), {0, 3, false});
  for (const bool settled : {true, false}) {
    f.meter.Sample(loads, absl::Seconds(1));
    const std::size_t window = f.meter.Offered(0, 1, absl::Seconds(1));
    if (settled) {
      f.meter.Delivered(0, 1, absl::Seconds(1), window);
    }
    f.meter.EndWindow(settled);
  }
  CHECK(f.meter.ServiceShare("valtellina") == Approx(0.5));
  CHECK(f.meter.SettledServiceShare("valtellina") == Approx(1));
}

}  // namespace
}  // namespace gcw::lab
