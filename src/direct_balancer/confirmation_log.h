#ifndef GCW_DIRECT_BALANCER_CONFIRMATION_LOG_H_
#define GCW_DIRECT_BALANCER_CONFIRMATION_LOG_H_

#include <array>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "gcw/direct/direct_router.h"
#include "src/direct_balancer/event_writer.h"

namespace gcw::direct_balancer {

// Logs when the state of a feed has not been confirmed for too long, and who
// confirmed it again. Not thread-safe.
class ConfirmationLog {
 public:
  // `limits` has the longest time without a confirmation of each feed. `log`
  // must outlive this object.
  ConfirmationLog(const std::array<absl::Duration, direct::kFeedCount>& limits,
                  EventWriter& log)
      : limits_(limits), log_(log) {}

  // `from`, a peer or the store, confirmed the state of `feed`, which was equal
  // to the store's at `confirmed`.
  void OnConfirmed(direct::Feed feed,
                   std::string_view from,
                   absl::Time confirmed,
                   absl::Time now);
  // Logs what has become due. Call about every 50 ms. `watcher` tells whether
  // this daemon watches the store for its availability zone.
  void OnTick(bool watcher, absl::Time now);

 private:
  struct State {
    absl::Time confirmed = absl::InfinitePast();
    std::string from;      // Who confirmed it last.
    bool overdue = false;  // Whether that was logged.
  };

  const std::array<absl::Duration, direct::kFeedCount> limits_;
  EventWriter& log_;
  std::array<State, direct::kFeedCount> states_;
};

}  // namespace gcw::direct_balancer

#endif  // GCW_DIRECT_BALANCER_CONFIRMATION_LOG_H_
