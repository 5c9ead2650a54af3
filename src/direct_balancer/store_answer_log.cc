#include "src/direct_balancer/store_answer_log.h"

#include <algorithm>
#include <string>

namespace gcw::direct_balancer {

void StoreAnswerLog::OnAnswer(direct::Feed feed,
                              direct::Version answered,
                              direct::Version held) {
  const std::string name(direct::FeedName(feed));
  failures_[static_cast<std::size_t>(feed)].clear();
  StoreEpoch& latest = epochs_[static_cast<std::size_t>(feed)];
  const StoreEpoch known = std::max(latest, EpochOf(held));
  latest = std::max(known, EpochOf(answered));
  if (held != 0 && latest > known) {
    log_.Write(StoreEpochChanged{name, answered, held});
  }
  if (answered < held) {
    log_.Write(direct::StaleStateIgnored{name, answered, held});
  }
}

void StoreAnswerLog::OnFailure(direct::Feed feed,
                               ResultCode code,
                               const std::string& message) {
  std::string& last = failures_[static_cast<std::size_t>(feed)];
  if (message == last) {
    return;
  }
  last = message;
  log_.Write(StoreCallFailed{std::string(direct::FeedName(feed)),
                             static_cast<int>(code), message});
}

}  // namespace gcw::direct_balancer
