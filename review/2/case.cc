// All machines but one are lost at once while the operator sends a route to
// another service. The machine that is left must follow the new manifest in
// time.

#include "deployment.h"

namespace review {
namespace {

constexpr double kConfigBound = 3.0;  // config_apply_ms
constexpr int kRounds = 6;
constexpr double kRoundLength = 14.5;
constexpr double kLossAt = 3;          // Within a round.
constexpr double kChangeAfter = 0.05;  // From the loss to the confirmation.
constexpr double kReturnAt = 8.5;      // Within a round.

int Run(Deployment& d) {
  if (!d.Setup()) {
    return kCannotRun;
  }
  const Address route = d.RouteAddress(1);
  const std::vector<std::string> services = {"orderdesk", "orderdesk-new"};
  d.AddMachines({1, 3, 4}, "", true);
  for (const char* zone : {"scot-east-a", "scot-east-b", "scot-east-c"}) {
    for (int i = 0; i < 4; ++i) {
      if (!d.AddBackend(services[static_cast<std::size_t>(i) % 2], zone)
               ->Start()) {
        return kCannotRun;
      }
    }
  }
  const auto put_manifest = [&](int version, const std::string& service) {
    d.PutManifest(version, {{"stock-watch", route, "idempotent", service}},
                  {{services[0], 0}, {services[1], 0}});
    d.record().Say("version %d of the manifest is confirmed: to %s", version,
                   service.c_str());
  };
  put_manifest(7, services[0]);
  for (const char* zone : {"scot-east-a", "scot-east-b", "scot-east-c"}) {
    if (d.AddClient(zone) == nullptr) {
      return kCannotRun;
    }
  }
  d.StartMachines();
  if (!d.WaitUntilReady(20)) {
    return kCannotRun;
  }
  d.loop().RunUntil(Now() + 1);
  std::vector<Machine*> candidates;
  for (const auto& machine : d.machines()) {
    if (machine->options().zone == "scot-east-a") {
      candidates.push_back(machine.get());
    }
  }
  int unanswered = 0;
  int violations = 0;
  std::map<std::string, double> sent;  // When, by request.
  for (int round = 0; round < kRounds; ++round) {
    const double start = Now();
    Machine* left = candidates[static_cast<std::size_t>(round) % 3];
    for (double time = 0; time < kRoundLength - 2; time += 0.05) {
      for (const auto& client : d.clients()) {
        d.loop().At(start + time, [&, client = client.get()] {
          const std::string request = "GET /" + std::to_string(sent.size());
          sent[request] = Now();
          client->OpenAndSend(route, request, 0.8, [&](Outcome outcome) {
            unanswered += outcome == Outcome::kAnswered ? 0 : 1;
          });
        });
      }
    }
    d.loop().At(start + kLossAt, [&] {
      if (!Trouble()) {
        return;
      }
      d.record().Say("round %d: all machines but %s are lost", round,
                     left->options().name.c_str());
      for (const auto& machine : d.machines()) {
        if (machine.get() != left) {
          machine->Lose();
        }
      }
    });
    const std::string& old_service =
        services[static_cast<std::size_t>(round) % 2];
    const std::string& new_service =
        services[static_cast<std::size_t>(round + 1) % 2];
    double confirmed = 0;
    d.loop().At(start + kLossAt + kChangeAfter, [&] {
      put_manifest(8 + round, new_service);
      confirmed = Now();
    });
    d.loop().At(start + kReturnAt, [&] {
      for (const auto& machine : d.machines()) {
        machine->Return();
      }
    });
    d.loop().RunUntil(start + kRoundLength);

    int late = 0;
    double latest = 0;
    for (const auto& backend : d.backends()) {
      if (backend->options().service != old_service) {
        continue;
      }
      for (const std::string& request : backend->runs()) {
        const double after = sent[request] - confirmed;
        latest = std::max(latest, after);
        late += after > kConfigBound ? 1 : 0;
      }
    }
    violations += late;
    d.record().Say(
        "round %d: the last request that the old service ran was sent %.2f s "
        "after the confirmation; %d were sent too late",
        round, latest, late);
  }
  d.record().Say("requests: %zu sent, %d not answered", sent.size(),
                 unanswered);
  d.record().Say("requests run by the old service after config_apply_ms: %d",
                 violations);
  d.record().Say(violations > 0 ? "BROKEN" : "held");
  return violations > 0 ? kBroken : kHeld;
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
