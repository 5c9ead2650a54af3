#ifndef GCW_DIRECT_FEED_STATES_H_
#define GCW_DIRECT_FEED_STATES_H_

#include <array>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "gcw/direct/direct_router.h"
#include "gcw/direct/events.h"

namespace gcw::direct {

// What is known of each kind of state that the store holds: its revision, when
// it was last confirmed, and whether the store answers. Pure; not thread-safe.
class FeedStates {
 public:
  // `events` must outlive this object.
  explicit FeedStates(std::vector<Event>* events) : events_(events) {}

  // Takes note of a state of `feed`; false if it is older than the one held.
  bool Advance(Feed feed, Version revision);
  // What is held was the store's at `confirmed`.
  void OnConfirmed(Feed feed, absl::Time confirmed);
  // A call to the store was answered, or failed.
  void OnAnswer(Feed feed, absl::Time now);
  void OnFailure(Feed feed, ResultCode code, absl::Time now);

  // Whether a state of every kind has been read.
  bool synced() const;
  absl::Time confirmed(Feed feed) const { return of(feed).confirmed; }
  absl::Duration Age(Feed feed, absl::Time now) const {
    return now - confirmed(feed);
  }

 private:
  struct State {
    Version revision = 0;
    bool synced = false;
    bool connected = false;
    absl::Time confirmed = absl::InfinitePast();
    absl::Time lost_at = absl::InfinitePast();
  };

  State& of(Feed feed) { return states_[static_cast<std::size_t>(feed)]; }
  const State& of(Feed feed) const {
    return states_[static_cast<std::size_t>(feed)];
  }

  std::vector<Event>* const events_;
  std::array<State, kFeedCount> states_;
};

}  // namespace gcw::direct

#endif  // GCW_DIRECT_FEED_STATES_H_
