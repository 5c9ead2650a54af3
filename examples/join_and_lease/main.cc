// Joins a membership over UDP and acquires a fenced lease. Two such processes
// on one machine find each other if started like this:
//
//   join_and_lease --name a --bind 127.0.0.1:7105 --peer 127.0.0.1:7106
//   join_and_lease --name b --bind 127.0.0.1:7106 --peer 127.0.0.1:7105
//
// The lease is kept in a store in the memory of each process, so each process
// gets its own lease. docs/EMBEDDING.md says what a shared store must provide.

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "absl/time/clock.h"
#include "examples/join_and_lease/member_socket.h"
#include "examples/join_and_lease/memory_store.h"
#include "gcw/base/log.h"
#include "gcw/lease/lease.h"

namespace {

constexpr gcw::Logger kLog("example");
// How long one iteration of the main loop waits for datagrams.
constexpr absl::Duration kTick = absl::Milliseconds(50);
// The key that only the holder of the lease may write.
constexpr char kGuardedKey[] = "status/example";

struct Flags {
  std::string name;
  std::string zone = "a";
  std::string bind;
  std::vector<std::string> peers;
  std::string secret = "an example of a shared secret";
  double seconds = 10;
};

// The clock with which the lease measures its expiry.
class Clock : public gcw::lease::MonotonicClock {
 public:
  absl::Time Now() override { return MemberSocket::MonotonicNow(); }
};

std::unique_ptr<gcw::membership::Membership> MakeMembership(
    const Flags& flags,
    const gcw::Endpoint& address) {
  gcw::membership::Options options;
  options.name = flags.name;
  options.zone = flags.zone;
  options.advertise = address;
  auto membership = gcw::membership::Membership::Make(
      options, absl::Now(), gcw::auth::SenderIdOf(flags.name));
  if (!membership.ok()) {
    kLog.Error("{}", gcw::ToString(membership.error()));
    return nullptr;
  }
  std::vector<gcw::membership::Seed> seeds;
  for (const std::string& peer : flags.peers) {
    if (const auto endpoint = gcw::Endpoint::Parse(peer); endpoint.ok()) {
      seeds.push_back({"", "", endpoint.value()});
    }
  }
  membership.value()->SetSettingsSeeds(seeds);
  return std::move(membership).value();
}

std::unique_ptr<gcw::lease::Lease> MakeLease(const Flags& flags) {
  gcw::lease::Options options;
  options.key = "lease/example";
  options.holder = flags.name + "@" + absl::FormatTime(absl::Now());
  options.guarded_keys = {kGuardedKey};
  auto lease =
      gcw::lease::Lease::Make(options, gcw::auth::SenderIdOf(flags.name));
  return lease.ok() ? std::move(lease).value() : nullptr;
}

void LogEvents(std::span<const gcw::membership::MemberEvent> events) {
  for (const auto& event : events) {
    kLog.Info("{} {}", event.member.name,
              gcw::membership::ToString(event.type));
  }
}

// If this process holds the lease, writes the number of members. Logs the
// outcomes of all writes that have completed.
void WriteStatus(gcw::lease::Lease& lease, std::size_t members) {
  const absl::Time now = MemberSocket::MonotonicNow();
  if (lease.IsHeld(now)) {
    // Fails while an earlier write is in progress; the next call of WriteStatus
    // writes again, so the result is ignored.
    (void)lease.FencedWrite(kGuardedKey, std::to_string(members), now);
  }
  for (const auto& outcome : lease.TakeOutcomes()) {
    if (outcome.result.ok()) {
      kLog.Info("wrote {} at version {}", outcome.key, outcome.result.value());
    } else {
      kLog.Warning("{}", gcw::ToString(outcome.result.error()));
    }
  }
}

int Run(const Flags& flags) {
  const auto address = gcw::Endpoint::Parse(flags.bind);
  if (!address.ok()) {
    kLog.Error("{}", gcw::ToString(address.error()));
    return EXIT_FAILURE;
  }
  const auto signer = gcw::auth::Signer::Make(flags.name, {1, flags.secret},
                                              std::nullopt, absl::Now());
  auto membership = MakeMembership(flags, address.value());
  auto lease = MakeLease(flags);
  if (!signer.ok() || !membership || !lease) {
    kLog.Error("invalid settings for the signer, membership or lease");
    return EXIT_FAILURE;
  }
  auto socket = MemberSocket::Make(address.value(), signer.value());
  if (!socket.ok()) {
    kLog.Error("{}", gcw::ToString(socket.error()));
    return EXIT_FAILURE;
  }
  MemoryStore store;
  Clock clock;
  const absl::Time end = clock.Now() + absl::Seconds(flags.seconds);
  absl::Time next_status = clock.Now();
  while (clock.Now() < end) {
    const gcw::membership::Actions actions = membership->OnTick(clock.Now());
    LogEvents(actions.events);
    socket.value()->Send(actions);
    LogEvents(socket.value()->Receive(*membership, kTick));
    constexpr int kCallsPerTick = 4;
    gcw::lease::ExecuteStoreCalls(*lease, store, clock, kCallsPerTick);
    if (clock.Now() >= next_status) {
      next_status = clock.Now() + absl::Seconds(1);
      WriteStatus(*lease, membership->live_count() + 1);
    }
  }
  lease->Release();
  gcw::lease::ExecuteStoreCalls(*lease, store, clock, 1);
  socket.value()->Send(membership->Leave(clock.Now()));
  kLog.Info("{} other members at the end", membership->live_count());
  return EXIT_SUCCESS;
}

}  // namespace

int main(int argc, char** argv) {
  Flags flags;
  CLI::App app("Joins a membership and acquires a fenced lease");
  app.add_option("--name", flags.name, "name of this member")->required();
  app.add_option("--zone", flags.zone, "availability zone of this member");
  app.add_option("--bind", flags.bind, "address of this member, IP:PORT")
      ->required();
  app.add_option("--peer", flags.peers, "address of another member, IP:PORT");
  app.add_option("--secret", flags.secret, "secret shared by all members");
  app.add_option("--seconds", flags.seconds, "how long to run");
  CLI11_PARSE(app, argc, argv);
  return Run(flags);
}
