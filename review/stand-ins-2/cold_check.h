// The check of FAILBACK: how many first packets a cold server takes in a
// second.

#ifndef REVIEW_STAND_INS_2_COLD_CHECK_H_
#define REVIEW_STAND_INS_2_COLD_CHECK_H_

#include "review/stand-ins-2/deployment.h"

namespace review2 {

// Collects the first packets that one server takes while it is cold.
class ColdCheck {
 public:
  // `callers` must hold all callers of the case by then.
  ColdCheck(Deployment& deployment,
            Server& server,
            const std::vector<std::unique_ptr<Callers>>& callers,
            double warmup_per_s)
      : deployment_(deployment),
        // The users' bounds `warmup_overage` and `warmup_slack`.
        limit_(warmup_per_s * 1.5 + 5) {
    server.set_on_opening([&](const Packet& packet, const Address& daemon) {
      if (!server.cold()) {
        return;
      }
      for (const auto& each : callers) {
        const Callers::Flow* flow = each->Find(packet.from.port);
        if (flow != nullptr && each->KeyOf(*flow).first == packet.from.ip) {
          ++by_daemon_[deployment_.fleet.NameOf(daemon)];
          openings_.push_back({flow->sent_at, deployment_.loop.now()});
        }
      }
    });
  }

  // Writes the result to the record. Returns the exit code.
  int Result() const {
    std::size_t most = 0;
    for (const Opening& first : openings_) {
      // Sent and arrived within the second that begins with `first`.
      const auto counts = [&](const Opening& o) {
        return o.sent >= first.sent && o.arrived < first.sent + 1;
      };
      most = std::max<std::size_t>(
          most, static_cast<std::size_t>(
                    std::count_if(openings_.begin(), openings_.end(), counts)));
    }
    for (const auto& [daemon, count] : by_daemon_) {
      deployment_.record.Write("%s sent the cold server %zu first packets",
                               daemon.c_str(), count);
    }
    const bool broken = static_cast<double>(most) > limit_;
    deployment_.record.Write(
        "most first packets to the cold server in a second: %zu, limit %.1f: "
        "%s",
        most, limit_, broken ? "BROKEN" : "held");
    return broken ? kBroken : kHeld;
  }

 private:
  struct Opening {
    double sent = 0;
    double arrived = 0;
  };

  Deployment& deployment_;
  const double limit_;
  std::vector<Opening> openings_;
  std::map<std::string, std::size_t> by_daemon_;
};

}  // namespace review2

#endif  // REVIEW_STAND_INS_2_COLD_CHECK_H_
