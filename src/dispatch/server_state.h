#ifndef GCW_DISPATCH_SERVER_STATE_H_
#define GCW_DISPATCH_SERVER_STATE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "gcw/config/resources.h"
#include "gcw/dispatch/messages.h"

namespace gcw::dispatch {

// What one daemon knows about one backend server: its slots in use, the number
// of slots it can sustain, and whether it fails. Answers, sheds and timeouts
// that the daemon observes are decisive. Load reports of the server may be
// stale or wrong, so they can only lower the limit. Not thread-safe.
class ServerState {
 public:
  // The change of state that an event caused.
  enum class Change { kNone, kRestarted, kBecameCold, kWarmedUp, kEjected };

  // The limit of a cold server rises to its full number of slots over
  // `warm_up`.
  ServerState(config::BackendServer server, absl::Duration warm_up);

  // Applies newer configuration. A server that was deleted and created again,
  // or that has a new address, starts cold.
  void Configure(const config::BackendServer& server, absl::Time now);

  // This daemon became the server's home. The former home may still have
  // attempts there, so new attempts pause for a moment. The former home last
  // saw `incarnation` (0: unknown) and considered the server cold until
  // `cold_until`.
  void OnTakeover(std::uint64_t incarnation,
                  absl::Time cold_until,
                  absl::Time now);

  // The server may have restarted: restarts its warm-up at `now`.
  void MarkCold(absl::Time now);

  // Whether this daemon may send new work to the server: it manages the server,
  // and the configuration lets the server take new work.
  void SetAcceptsNewWork(bool accepts_new_work) {
    accepts_new_work_ = accepts_new_work;
  }
  bool accepts_new_work() const { return accepts_new_work_; }

  // Whether one more attempt may be sent now.
  bool Available(absl::Time now) const;

  // An attempt was sent and takes a slot.
  void OnSent(absl::Time now);
  // An attempt ended and its slot is free.
  void OnSlotReleased();
  // An attempt was cancelled. Its slot counts as in use until `at`, because the
  // server needs time to free it.
  void ReleaseSlotAt(absl::Time at);

  // The answer to an attempt is complete; `part` is its last part to arrive.
  Change OnAnswer(const AnswerPart& part, absl::Time now);
  // The server rejected an attempt because it is overloaded.
  Change OnShed(std::uint64_t incarnation, absl::Time now);
  // An attempt that was sent at `sent` got no answer by its deadline. Returns
  // kEjected if the server should be ejected; the caller decides.
  Change OnAttemptTimeout(absl::Time sent);
  // Marks the server cold if the report shows a greater incarnation. Ignores
  // the reported load.
  Change OnLoadReport(const LoadReport& report, absl::Time now);
  // Releases the slots of cancelled attempts whose release time, as passed to
  // ReleaseSlotAt, has been reached.
  void OnTick(absl::Time now);

  // Sends the server no attempts for a while; it is cold afterwards.
  void Eject(absl::Time now);

  const config::BackendServer& config() const { return server_; }
  const std::string& name() const { return server_.name; }
  std::uint32_t in_flight() const { return in_flight_; }
  // The current limit of slots in use, from 1 to the configured slots.
  std::uint32_t allowed() const;
  // Slots in use as a share of the configured slots, as a decaying average.
  double usage() const { return usage_; }
  bool cold() const { return cold_; }
  // Time until the warm-up ends; zero if the server is not cold.
  absl::Duration warm_up_left(absl::Time now) const;
  // The share of its normal load that the server can take now, 0 to 1.
  double share(absl::Time now) const;
  bool ejected(absl::Time now) const { return now < ejected_until_; }
  // Whether enough attempts in a row timed out to eject the server.
  bool is_failing() const;
  std::uint64_t incarnation() const { return incarnation_; }

 private:
  // Records the incarnation in a message from the server. A change means that
  // the server restarted and marks it cold.
  Change UpdateIncarnation(std::uint64_t incarnation, absl::Time now);
  // Raises the limit of slots after an answer.
  void RaiseLimit(absl::Time now);
  // Updates the decaying average of the usage.
  void UpdateUsage(absl::Time now);

  config::BackendServer server_;
  absl::Duration warm_up_;
  bool accepts_new_work_ = true;
  std::uint32_t in_flight_ = 0;
  std::vector<absl::Time> scheduled_releases_;
  double allowed_ = 1;
  bool cold_ = false;
  absl::Time cold_since_ = absl::InfinitePast();
  std::uint64_t incarnation_ = 0;
  std::uint32_t consecutive_sheds_ = 0;
  std::uint32_t consecutive_timeouts_ = 0;
  absl::Time paused_until_ = absl::InfinitePast();
  absl::Time ejected_until_ = absl::InfinitePast();
  absl::Time last_answer_ = absl::InfinitePast();
  absl::Time usage_updated_ = absl::InfinitePast();
  double usage_ = 0;
};

}  // namespace gcw::dispatch

#endif  // GCW_DISPATCH_SERVER_STATE_H_
