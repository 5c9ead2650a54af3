#ifndef GCW_DIRECT_BALANCER_RETAINED_EXCHANGE_H_
#define GCW_DIRECT_BALANCER_RETAINED_EXCHANGE_H_

#include <array>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "src/direct_balancer/peer_message.h"
#include "src/direct_balancer/retained_objects.h"

namespace gcw::direct_balancer {

// Decides which peers are told which retained objects: each batch once, and
// only peers that may have started too late to read the objects themselves. Has
// no I/O. Not thread-safe.
class RetainedExchange {
 public:
  // `peer` was found, has started or has come back.
  void OnPeerStarted(std::string_view peer, absl::Time now);
  // `peer` is gone.
  void OnPeerGone(std::string_view peer);

  // The messages to send to `peer`, which has just shown that it can be
  // reached. `batches` is what this daemon retains of `feed`.
  std::vector<RetainedMessage> MessagesFor(
      std::string_view peer,
      direct::Feed feed,
      std::span<const RetainedBatch> batches,
      absl::Time now);

 private:
  struct PeerState {
    absl::Time started;
    // The highest id of a batch that the peer was told, by feed.
    std::array<std::uint64_t, direct::kFeedCount> told{};
  };

  std::map<std::string, PeerState, std::less<>> peers_;
};

}  // namespace gcw::direct_balancer

#endif  // GCW_DIRECT_BALANCER_RETAINED_EXCHANGE_H_
