#include "src/lab/config_watch.h"

#include <fmt/format.h>

#include <algorithm>

namespace gcw::lab {

ConfigWatch::ConfigWatch(const Scheduler& scheduler,
                         const World& world,
                         Ledger& notes)
    : scheduler_(scheduler),
      world_(world),
      notes_(notes),
      revisions_(world.topology().daemons.size(), 0) {}

void ConfigWatch::OnWriteAccepted(std::uint64_t version) {
  pending_.push_back({version, scheduler_.now()});
}

void ConfigWatch::OnRevisionReported(DaemonIndex daemon,
                                     std::uint64_t revision) {
  if (revision < revisions_[daemon]) {
    ++reverts_;
    notes_.AddNote("config.reverts",
                   fmt::format("{} went back from revision {} to {}",
                               world_.topology().daemons[daemon].name,
                               revisions_[daemon], revision));
  }
  revisions_[daemon] = revision;
  while (!pending_.empty() && InForce(pending_.front().version)) {
    longest_delay_ = std::max(longest_delay_, SpreadTime(pending_.front()));
    pending_.pop_front();
  }
}

void ConfigWatch::ForgetRevision(DaemonIndex daemon) {
  revisions_[daemon] = 0;
}

bool ConfigWatch::InForce(std::uint64_t version) const {
  for (DaemonIndex i = 0; i < revisions_.size(); ++i) {
    const DaemonTruth& truth = world_.daemon(i);
    const bool expected = truth.state == DaemonState::kLive &&
                          revisions_[i] > 0 &&
                          truth.informed_since != absl::InfiniteFuture();
    if (expected && revisions_[i] < version) {
      return false;
    }
  }
  return true;
}

void ConfigWatch::Reset() {
  pending_.clear();
  longest_delay_ = absl::ZeroDuration();
  reverts_ = 0;
}

void ConfigWatch::Finish() {
  for (const Pending& pending : pending_) {
    if (!InForce(pending.version)) {
      longest_delay_ = std::max(longest_delay_, SpreadTime(pending));
      notes_.AddNote(
          "config.in_force_s",
          fmt::format("version {} is not in force", pending.version));
    }
  }
  pending_.clear();
}

absl::Duration ConfigWatch::SpreadTime(const Pending& pending) const {
  // For a daemon that was cut off or paused, the time counts from when that
  // daemon could receive configuration again.
  absl::Time since = pending.accepted;
  for (DaemonIndex i = 0; i < revisions_.size(); ++i) {
    const DaemonTruth& truth = world_.daemon(i);
    if (truth.state == DaemonState::kLive &&
        truth.informed_since != absl::InfiniteFuture()) {
      since = std::max(since, truth.informed_since);
    }
  }
  return std::max(scheduler_.now() - since, absl::ZeroDuration());
}

}  // namespace gcw::lab
