#ifndef GCW_DIRECT_BALANCER_STORE_ANSWER_LOG_H_
#define GCW_DIRECT_BALANCER_STORE_ANSWER_LOG_H_

#include <array>
#include <string>

#include "gcw/direct/direct_router.h"
#include "src/direct_balancer/event_writer.h"

namespace gcw::direct_balancer {

// Logs what the versions of the store's answers show: that the store was
// restored, and that an answer is stale. Logs why calls fail. Not thread-safe.
class StoreAnswerLog {
 public:
  // `log` must outlive this object.
  explicit StoreAnswerLog(EventWriter& log) : log_(log) {}

  // The store answered a call for `feed` with its state of `answered`. `held`
  // is the version of this daemon's state, 0 if it has none. Logs a restore
  // once for each feed, and each answer that is older than `held`.
  void OnAnswer(direct::Feed feed,
                direct::Version answered,
                direct::Version held);

  // A call for `feed` failed. Logs each reason once until another reason or an
  // answer follows.
  void OnFailure(direct::Feed feed,
                 ResultCode code,
                 const std::string& message);

 private:
  EventWriter& log_;
  // Why the last call for each feed failed; empty after an answer.
  std::array<std::string, direct::kFeedCount> failures_;
  // The store's latest epoch in an answer for each feed. A feed without changes
  // keeps its version from before a restore.
  std::array<StoreEpoch, direct::kFeedCount> epochs_{};
};

}  // namespace gcw::direct_balancer

#endif  // GCW_DIRECT_BALANCER_STORE_ANSWER_LOG_H_
