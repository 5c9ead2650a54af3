#ifndef GCW_DISPATCH_SERVER_STATE_H_
#define GCW_DISPATCH_SERVER_STATE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "gcw/config/resources.h"
#include "gcw/dispatch/messages.h"

namespace gcw::dispatch {

// What one daemon knows of one backend server: its slots in use, how many it
// bears, and whether it fails. Own evidence (answers, sheds, silence) decides;
// the server's load endpoint may lag or mislead and only adds caution.
// Not thread-safe.
class ServerState {
 public:
  // What changed by an event.
  enum class Change { kNone, kRestarted, kBecameCold, kWarmedUp, kEjected };

  // A server that turned cold gets its slots back over `warm_up`.
  ServerState(config::BackendServer server, absl::Duration warm_up);

  // Takes over newer configuration. An object created anew starts cold.
  void Configure(const config::BackendServer& server, absl::Time now);

  // This daemon became the home: others may have work there. The former home
  // last saw `incarnation` (0: unknown) and took it for cold until
  // `cold_until`.
  void OnTakeover(std::uint64_t incarnation,
                  absl::Time cold_until,
                  absl::Time now);

  // It may have restarted: it is as good as cold.
  void MarkCold(absl::Time now);

  // Whether operators want new work on it. `zone_in`: of its zone.
  void SetAcceptsNewWork(bool accepts_new_work) {
    accepts_new_work_ = accepts_new_work;
  }
  bool accepts_new_work() const { return accepts_new_work_; }

  // Whether one more attempt may be sent now.
  bool Available(absl::Time now) const;

  void OnSent(absl::Time now);
  // The attempt ended; its slot is free.
  void OnSlotReleased();
  // The attempt was given up; the server may need until `at` to free its slot.
  void ReleaseSlotAt(absl::Time at);

  Change OnAnswer(const AnswerPart& part, absl::Time now);
  Change OnShed(std::uint64_t incarnation, absl::Time now);
  // An attempt that was sent at `sent` ended at its deadline.
  Change OnAttemptTimeout(absl::Time sent);
  Change OnLoadReport(const LoadReport& report, absl::Time now);
  // Frees slots whose time has come.
  void OnTick(absl::Time now);

  void Eject(absl::Time now);

  const config::BackendServer& config() const { return server_; }
  const std::string& name() const { return server_.name; }
  std::uint32_t in_flight() const { return in_flight_; }
  // Slots that may be in use at present.
  std::uint32_t allowed() const;
  // Slots in use as a share of those allowed, in the long run.
  double usage() const { return usage_; }
  bool cold() const { return cold_; }
  // Until it bears its full load; zero if it does.
  absl::Duration warm_up_left(absl::Time now) const;
  // Share of its normal work that it bears, 0 to 1.
  double share(absl::Time now) const;
  bool ejected(absl::Time now) const { return now < ejected_until_; }
  bool is_failing() const;
  std::uint64_t incarnation() const { return incarnation_; }

 private:
  Change UpdateIncarnation(std::uint64_t incarnation, absl::Time now);
  void RaiseLimit(absl::Time now);
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
