#ifndef GCW_DIRECT_FLOW_TABLE_H_
#define GCW_DIRECT_FLOW_TABLE_H_

#include <cstdint>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "src/direct/server_table.h"

namespace gcw::direct {

// What a daemon has seen of a flow through the caller's packets. Replies do
// not pass here, but the caller's acknowledgements tell of them.
struct Flow {
  ServerEntry* server = nullptr;
  bool established = false;  // A packet beyond the first was seen.
  bool closed = false;       // The caller has ended it; not counted any more.
  bool waiting = false;      // Data was sent, and nothing came back since.
  // Its answers are long enough for the caller to acknowledge them at once.
  bool acks_answers = false;
  std::uint32_t first_sequence = 0;
  std::uint32_t next_sequence = 0;  // Behind the data seen so far.
  std::uint32_t acknowledged = 0;
  absl::Time opened_at;
  absl::Time last_packet;
  absl::Time waiting_since;
  absl::Duration target_latency;  // Of its route.
};

// The flows that this daemon has seen lately. Counts them at their servers.
// Pure; not thread-safe.
class FlowTable {
 public:
  using Map = absl::flat_hash_map<FlowKey, Flow>;

  explicit FlowTable(std::uint32_t max_flows) : max_flows_(max_flows) {}

  // The flow, or null. Valid until the next Add or Erase.
  Flow* Find(const FlowKey& key);
  // A new flow of `server`; null when the table is full. Precondition: there
  // is no flow `key`.
  Flow* Add(const FlowKey& key, ServerEntry* server, absl::Time now);
  // Gives the flow to another server.
  static void Reassign(Flow& flow, ServerEntry* server);
  void Erase(const FlowKey& key);
  // The caller has ended the flow: it counts no more, but stays for a while
  // for its last packets.
  static void Close(Flow& flow);

  // Erases flows without a packet for `idle`, and those older than `max_age`.
  void Expire(absl::Duration idle_timeout,
              absl::Duration max_age,
              absl::Time now);

  std::size_t size() const { return flows_.size(); }
  Map& flows() { return flows_; }

 private:
  const std::uint32_t max_flows_;
  Map flows_;
};

}  // namespace gcw::direct

#endif  // GCW_DIRECT_FLOW_TABLE_H_
