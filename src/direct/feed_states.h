#ifndef GCW_DIRECT_FEED_STATES_H_
#define GCW_DIRECT_FEED_STATES_H_

#include <array>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "gcw/direct/direct_router.h"
#include "gcw/direct/events.h"

namespace gcw::direct {

// Tracks each feed (kind of state in the store): its revision, when it was last
// confirmed to be up to date, and whether the store answers calls for it.
// Has no I/O. Not thread-safe.
class FeedStates {
 public:
  // `events` must outlive this object.
  explicit FeedStates(std::vector<Event>* events) : events_(events) {}

  // Records that a state of `feed` with `revision` was received. Returns false
  // if the state is older than the current one and must be ignored.
  bool Advance(Feed feed, Version revision);
  // The current state of `feed` was up to date in the store at `confirmed`.
  void OnConfirmed(Feed feed, absl::Time confirmed);
  // A call to the store for `feed` was answered, or failed.
  void OnAnswer(Feed feed, absl::Time now);
  void OnFailure(Feed feed, ResultCode code, absl::Time now);

  // The revision of the current state of `feed`.
  Version revision(Feed feed) const { return of(feed).revision; }
  // Whether a state of every feed has been received.
  bool synced() const;
  // When `feed` was last known to be up to date.
  absl::Time confirmed(Feed feed) const { return of(feed).confirmed; }
  // Time since `feed` was last known to be up to date.
  absl::Duration Age(Feed feed, absl::Time now) const {
    return now - confirmed(feed);
  }

 private:
  struct State {
    Version revision = 0;
    bool synced = false;
    bool connected = false;  // Whether the last call to the store was answered.
    absl::Time confirmed = absl::InfinitePast();
    // When the store stopped answering calls for this feed.
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
