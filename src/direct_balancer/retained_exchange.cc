#include "src/direct_balancer/retained_exchange.h"

#include <cstddef>

namespace gcw::direct_balancer {
namespace {

// A peer that started longer than this before a batch was noticed has read the
// objects itself. Daemons may notice that the store lost an object at different
// times, some of them only when they reach the store again.
constexpr absl::Duration kNoticeSpread = absl::Seconds(15);

}  // namespace

void RetainedExchange::OnPeerStarted(std::string_view peer, absl::Time now) {
  peers_[std::string(peer)] = {now, {}};
}

void RetainedExchange::OnPeerGone(std::string_view peer) {
  const auto it = peers_.find(peer);
  if (it != peers_.end()) {
    peers_.erase(it);
  }
}

std::vector<RetainedMessage> RetainedExchange::MessagesFor(
    std::string_view peer,
    direct::Feed feed,
    std::span<const RetainedBatch> batches,
    absl::Time now) {
  std::vector<RetainedMessage> messages;
  const auto it = peers_.find(peer);
  if (it == peers_.end()) {
    return messages;
  }
  std::uint64_t& told = it->second.told[static_cast<std::size_t>(feed)];
  for (const RetainedBatch& batch : batches) {
    if (batch.id > told && it->second.started + kNoticeSpread >= batch.since) {
      messages.push_back(
          {feed, now - batch.since, batch.store_version, batch.objects});
    }
  }
  if (!batches.empty()) {
    told = batches.back().id;
  }
  return messages;
}

}  // namespace gcw::direct_balancer
