#ifndef GCW_SRC_ROUTING_BASELINE_ROUTER_H_
#define GCW_SRC_ROUTING_BASELINE_ROUTER_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "gcw/routing/routing_policy.h"
#include "src/routing/flow_table.h"
#include "src/routing/server_registry.h"
#include "src/routing/service_directory.h"

namespace gcw::routing {

// The policies "hash" and "local", which serve as baselines for comparison:
// consistent hashing by the newest configuration, without ("hash") or with
// ("local") a table of the flows that this daemon has seen. Neither exchanges
// messages with other daemons.
class BaselineRouter final : public RoutingPolicy {
 public:
  // Precondition: `options` are valid, see RoutingPolicy::Make.
  explicit BaselineRouter(const RouterOptions& options);

  void ApplySnapshot(config::SnapshotPtr snapshot, absl::Time now) override;
  void ApplyMembers(std::span<const Member> members, absl::Time now) override;
  void NoteConfigurationCurrent(absl::Time now) override;
  void SetServerShareLimits(std::span<const ServerShareLimit> limits,
                            absl::Time now) override;
  Decision OnPacket(const FlowPacket& packet, absl::Time now) override;
  Decision OnRelayed(const FlowPacket& packet,
                     const RelayHeader& header,
                     absl::Time now) override;
  ReplyDecision OnReply(const Endpoint& server,
                        const FlowPacket& reply,
                        absl::Time now) override;
  void OnMessage(std::string_view from,
                 std::span<const std::uint8_t> bytes,
                 absl::Time now) override;
  void OnTick(absl::Time now) override;
  std::vector<OutgoingMessage> TakeMessages() override;
  bool handed_over() const override;
  RouterStats Stats() const override;

 private:
  // Stores the flow on `server`. Evicts arbitrary entries if the table is full;
  // returns null if there still is no room.
  FlowEntry* StoreEntry(FlowKey key, ServerIndex server, std::uint32_t service);

  ServerRegistry registry_;
  ServiceDirectory directory_;
  std::optional<FlowTable> flows_;  // Only for the policy "local".
  config::Version revision_ = 0;
  RouterStats counts_;
};

}  // namespace gcw::routing

#endif  // GCW_SRC_ROUTING_BASELINE_ROUTER_H_
