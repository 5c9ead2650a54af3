#include "src/direct/feed_states.h"

#include <algorithm>
#include <string_view>

namespace gcw::direct {
namespace {

constexpr std::array<std::string_view, kFeedCount> kFeedNames{
    "configuration", "servers", "zones"};

std::string NameOf(Feed feed) {
  return std::string(FeedName(feed));
}

}  // namespace

std::string_view FeedName(Feed feed) {
  return kFeedNames[static_cast<std::size_t>(feed)];
}

bool FeedStates::Advance(Feed feed, Version revision) {
  State& state = of(feed);
  if (revision < state.revision) {
    events_->push_back(
        StaleStateIgnored{NameOf(feed), revision, state.revision});
    return false;
  }
  state.revision = revision;
  state.synced = true;
  return true;
}

void FeedStates::OnConfirmed(Feed feed, absl::Time confirmed) {
  State& state = of(feed);
  state.confirmed = std::max(state.confirmed, confirmed);
}

void FeedStates::OnAnswer(Feed feed, absl::Time now) {
  OnConfirmed(feed, now);
  State& state = of(feed);
  if (state.connected) {
    return;
  }
  state.connected = true;
  events_->push_back(FeedChanged{.feed = NameOf(feed),
                                 .connected = true,
                                 .away = state.lost_at == absl::InfinitePast()
                                             ? absl::ZeroDuration()
                                             : now - state.lost_at});
}

void FeedStates::OnFailure(Feed feed, ResultCode code, absl::Time now) {
  State& state = of(feed);
  if (!state.connected && state.lost_at != absl::InfinitePast()) {
    return;
  }
  state.connected = false;
  state.lost_at = now;
  events_->push_back(FeedChanged{.feed = NameOf(feed),
                                 .connected = false,
                                 .code = static_cast<int>(code)});
}

bool FeedStates::synced() const {
  return std::all_of(states_.begin(), states_.end(),
                     [](const State& state) { return state.synced; });
}

}  // namespace gcw::direct
