// An entry of kind `servers` that comes from another writer holds arrays in
// arrays. It names no server, so the other servers must go on being used.

#include "deployment.h"

namespace review {
namespace {

// Two bytes a level: with 120,000 levels the entry has 240 kB, and the store
// takes up to 1 MB (value_bytes).
constexpr std::size_t kLevels = 120'000;
constexpr double kTroubleAt = 4;
constexpr double kEnd = 34;

int Run(Deployment& d) {
  if (!d.Setup()) {
    return kCannotRun;
  }
  const Address route = d.RouteAddress(1);
  d.AddMachines({1, 3, 4});
  for (const char* zone : {"scot-east-a", "scot-east-b", "scot-east-c"}) {
    for (int i = 0; i < 2; ++i) {
      if (!d.AddBackend("orderdesk", zone)->Start()) {
        return kCannotRun;
      }
    }
  }
  d.PutManifest(7, {{"stock-watch", route, "idempotent", "orderdesk"}},
                {{"orderdesk", 0}});
  for (const char* zone : {"scot-east-a", "scot-east-b", "scot-east-c"}) {
    if (d.AddClient(zone) == nullptr) {
      return kCannotRun;
    }
  }
  d.StartMachines();
  if (!d.WaitUntilReady(20)) {
    return kCannotRun;
  }
  const double start = Now();
  const auto at = [&](double time) { return start + time; };

  // Each client sends ten requests a second, each on a flow of its own.
  int sent = 0;
  int answered = 0;
  int late_sent = 0;
  int late_answered = 0;
  for (double time = 0; time < kEnd - 2; time += 0.1) {
    for (const auto& client : d.clients()) {
      d.loop().At(at(time), [&, time, client = client.get()] {
        const bool late = time > kTroubleAt + 8;
        ++sent;
        late_sent += late ? 1 : 0;
        client->OpenAndSend(route, "GET /" + std::to_string(sent), 0.8,
                            [&, late](Outcome outcome) {
                              const bool ok = outcome == Outcome::kAnswered;
                              answered += ok ? 1 : 0;
                              late_answered += ok && late ? 1 : 0;
                            });
      });
    }
  }
  if (Trouble()) {
    d.loop().At(at(kTroubleAt), [&] {
      d.record().Say("another writer writes servers/x-1");
      const std::string nested =
          std::string(kLevels, '[') + std::string(kLevels, ']');
      d.store().Put("servers", "x-1",
                    "{\"service\":\"orderdesk\",\"zone\":" + nested + "}");
    });
  }
  d.loop().RunUntil(at(kEnd));

  int ended_often = 0;
  for (const auto& machine : d.machines()) {
    d.record().Say("machine %s: its processes ended by themselves %d times",
                   machine->options().name.c_str(), machine->self_ends());
    ended_often += machine->self_ends() >= 3 ? 1 : 0;
  }
  d.record().Say("requests: %d sent, %d answered", sent, answered);
  d.record().Say("of these, sent from 8 s after the entry: %d, answered: %d",
                 late_sent, late_answered);
  // The rule: on a tenth of the machines, two at least, processes end by
  // themselves three times.
  const bool broken = ended_often >= 2;
  d.record().Say(broken ? "BROKEN" : "held");
  return broken ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 3) {
    return review::kCannotRun;
  }
  review::Deployment deployment(argv[1], argv[2]);
  return review::Run(deployment);
}
