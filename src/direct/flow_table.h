#ifndef GCW_DIRECT_FLOW_TABLE_H_
#define GCW_DIRECT_FLOW_TABLE_H_

#include <cstdint>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "src/direct/server_table.h"

namespace gcw::direct {

// State of a flow as observed from its caller's packets. The server's packets
// don't pass through the daemon, but the caller's acknowledgements reveal them.
struct Flow {
  ServerEntry* server = nullptr;
  bool established = false;  // A packet other than a SYN was seen.
  // The caller has sent a FIN. The flow no longer counts as open.
  bool closed = false;
  // The caller has sent data that the server has not answered yet.
  bool waiting = false;
  // The caller has acknowledged an answer at once, without waiting for its next
  // request. Callers acknowledge long answers at once.
  bool acks_answers = false;
  std::uint32_t first_sequence = 0;
  std::uint32_t next_sequence = 0;  // After the last data that was seen.
  std::uint32_t acknowledged = 0;   // The caller's last acknowledgement.
  absl::Time opened_at;
  absl::Time last_packet;
  absl::Time waiting_since;
  absl::Duration target_latency;  // Of the route; zero if not known.
};

// The flows that this daemon has seen recently. Keeps the numbers of flows in
// the ServerEntry of each server up to date. Has no I/O. Not thread-safe.
class FlowTable {
 public:
  using Map = absl::flat_hash_map<FlowKey, Flow>;

  explicit FlowTable(std::uint32_t max_flows) : max_flows_(max_flows) {}

  // Returns the flow `key`, or null if it is not in the table. The pointer is
  // valid until the next call of Add(), Erase() or Expire().
  Flow* Find(const FlowKey& key);
  // Adds a flow of `server`. Returns null if the table is full. Precondition:
  // the table has no flow `key`.
  Flow* Add(const FlowKey& key, ServerEntry* server, absl::Time now);
  // Moves the flow to `server` and marks it as open.
  static void Reassign(Flow& flow, ServerEntry* server);
  // Moves the flows of `from` that were opened at `since` or later, and that
  // their callers have not closed, to `to`.
  void Move(const ServerEntry& from, ServerEntry& to, absl::Time since);
  void Erase(const FlowKey& key);
  // Marks the flow as closed by its caller. A closed flow does not count as
  // open but stays in the table for a few seconds, for its last packets.
  static void Close(Flow& flow);

  // Erases flows without a packet for `idle_timeout`, and flows older than
  // `max_age`.
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
