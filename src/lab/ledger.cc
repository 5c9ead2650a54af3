#include "src/lab/ledger.h"

#include <fmt/format.h>

#include <algorithm>

namespace gcw::lab {
namespace {

constexpr int kMaxNotesPerKind = 10;

}  // namespace

Ledger::Ledger(const Scheduler& scheduler, const World& world)
    : scheduler_(scheduler), world_(world) {}

void Ledger::PacketAtServer(ServerIndex server,
                            std::optional<DaemonIndex> daemon) {
  ++packets_.at_servers;
  const ZoneIndex zone = world_.topology().servers[server].zone;
  if (IsOverdue(world_.zone_out_since(zone), daemon)) {
    ++packets_.to_out_zone_late;
    AddNote("packets.to_out_zone_late",
            fmt::format("{} sent a packet to {}", NameOf(daemon),
                        world_.topology().servers[server].name));
  }
}

void Ledger::Misdelivered(ServerIndex server, const std::string& what) {
  ++packets_.misdelivered;
  AddNote("packets.misdelivered",
          fmt::format("{} received {}", world_.topology().servers[server].name,
                      what));
}

void Ledger::Malformed(const std::string& what) {
  ++packets_.malformed;
  AddNote("packets.malformed", what);
}

void Ledger::NewWork(ServerIndex server,
                     std::optional<DaemonIndex> daemon,
                     const std::string& what) {
  ++work_.accepted;
  if (IsOverdue(world_.server(server).leaving_since, daemon)) {
    ++work_.to_leaving_late;
    AddNote("work.to_leaving_late",
            fmt::format("{} sent {} to {}", NameOf(daemon), what,
                        world_.topology().servers[server].name));
  }
}

void Ledger::FlowBroken(const std::string& why) {
  ++flows_.broken;
  AddNote("flows.broken", why);
}

void Ledger::FlowSilentStuck(const std::string& what) {
  ++flows_.silent_stuck;
  AddNote("flows.silent_stuck", what);
}

void Ledger::FlowAtSecondServer(const std::string& what) {
  ++flows_.second_server;
  AddNote("flows.second_server", what);
}

void Ledger::AddNote(const std::string& kind, const std::string& text) {
  const auto count =
      std::count_if(notes_.begin(), notes_.end(),
                    [&](const Note& note) { return note.kind == kind; });
  if (count < kMaxNotesPerKind) {
    notes_.push_back(
        {absl::ToDoubleSeconds(scheduler_.now() - start_), kind, text});
  }
}

bool Ledger::IsOverdue(absl::Time since,
                       std::optional<DaemonIndex> daemon) const {
  if (daemon) {
    // A daemon that is cut off or paused cannot learn of the change, so the
    // grace period counts from when the daemon could receive configuration
    // again.
    since = std::max(since, world_.daemon(*daemon).informed_since);
  }
  return since != absl::InfiniteFuture() &&
         scheduler_.now() > since + kOperatorChangeGrace;
}

std::string Ledger::NameOf(std::optional<DaemonIndex> daemon) const {
  return daemon ? world_.topology().daemons[*daemon].name : "an unknown sender";
}

}  // namespace gcw::lab
