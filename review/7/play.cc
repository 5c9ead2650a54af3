// A heartbeat of a server's earlier boot reaches the store's entry late, after
// the server has started again under the same id.

#include "review/stand-ins-2/deployment.h"

int main(int argc, char** argv) {
  using namespace review2;
  // The users' bound `stability_window_ms`.
  constexpr double kStabilityWindow = 4;
  constexpr double kRunTime = 17;

  Deployment d(argc, argv, 67);
  d.Configure("orderdesk", 0);
  const auto first = d.MakeServer("i-00000a01", "orderdesk", "zone-a", 1);
  const auto second = d.MakeServer("i-00000a02", "orderdesk", "zone-b", 2);
  first->Start();
  second->Start();
  for (std::uint32_t i = 0; i < 2; ++i) {
    d.fleet.Add(i == 0 ? "front-a-1" : "front-b-1",
                i == 0 ? "zone-a" : "zone-b", d.DaemonIp(i),
                {d.DaemonIp(0), d.DaemonIp(1)});
    d.fleet.Start(i);
  }
  d.AwaitReady(2);

  int broken = 0;
  std::vector<std::unique_ptr<Callers>> callers;
  for (const char* zone : {"zone-a", "zone-b"}) {
    callers.push_back(
        d.MakeCallers(zone, static_cast<std::uint32_t>(callers.size() + 1)));
    Callers* const own = callers.back().get();
    own->set_on_reset([&, own](const Callers::Flow& flow) {
      if (!flow.open) {
        return;
      }
      const double up = d.loop.now() - first->started_at();
      const bool counts =
          first->HoldsOpen(own->KeyOf(flow)) && up > kStabilityWindow;
      d.record.Write(
          "a daemon resets the open flow %u; its server %s: %s", flow.port,
          first->HoldsOpen(own->KeyOf(flow)) ? "holds it" : "does not hold it",
          counts ? "BROKEN" : "allowed");
      broken += counts ? 1 : 0;
    });
    d.Every(0.2, d.loop.now() + kRunTime - 2, [own] { own->Open(20, 0.4); });
  }

  d.loop.After(4, [&] {
    // The write has left the server, which ends before the answer.
    const std::string in_flight = first->Entry();
    first->Crash();
    if (WithTrouble()) {
      d.loop.After(5.5, [&, in_flight] {
        d.record.Write("the store executes the ended boot's last write");
        d.store.Put("servers", first->id(), in_flight);
      });
    }
  });
  d.loop.After(4.6, [&] { first->Start(); });
  d.loop.RunUntil(d.loop.now() + kRunTime);
  d.fleet.CheckRunning();
  d.record.Write("open flows of a living server that were reset: %d", broken);
  return broken > 0 ? kBroken : kHeld;
}
