#include "src/direct_balancer/confirmation_log.h"

#include <algorithm>

namespace gcw::direct_balancer {

void ConfirmationLog::OnConfirmed(direct::Feed feed,
                                  std::string_view from,
                                  absl::Time confirmed,
                                  absl::Time now) {
  const auto index = static_cast<std::size_t>(feed);
  State& state = states_[index];
  if (state.overdue && now - confirmed <= limits_[index]) {
    state.overdue = false;
    log_.Write(StateConfirmedAgain{std::string(direct::FeedName(feed)),
                                   std::string(from), now - state.confirmed});
  }
  state.confirmed = std::max(state.confirmed, confirmed);
  state.from = from;
}

void ConfirmationLog::OnTick(bool watcher, absl::Time now) {
  for (std::size_t i = 0; i < states_.size(); ++i) {
    State& state = states_[i];
    const bool known = state.confirmed != absl::InfinitePast();
    if (!known || state.overdue || now - state.confirmed <= limits_[i]) {
      continue;
    }
    state.overdue = true;
    const auto feed = static_cast<direct::Feed>(i);
    log_.Write(StateUnconfirmed{std::string(direct::FeedName(feed)), state.from,
                                now - state.confirmed, watcher});
  }
}

}  // namespace gcw::direct_balancer
