#ifndef GCW_SRC_ROUTING_CONTROL_MESSAGE_H_
#define GCW_SRC_ROUTING_CONTROL_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "gcw/routing/packet.h"
#include "src/routing/flow_key.h"
#include "src/routing/table.h"

namespace gcw::routing {

// A table that the sender knows.
struct TableNotice {
  ServiceId service = 0;
  TableSpec spec;

  bool operator==(const TableNotice&) const = default;
};

// That new flows of buckets of `server` may be placed elsewhere.
struct DeviationNotice {
  ServiceId service = 0;
  ServerId server = 0;

  bool operator==(const DeviationNotice&) const = default;
};

// Flows that one server has, as the sender holds them.
struct RecordGroup {
  ServiceId service = 0;
  ServerId server = 0;
  std::vector<FlowKey> flows;

  bool operator==(const RecordGroup&) const = default;
};

// What one daemon tells another. Each message begins with the state of the
// sender; the rest is there as needed.
struct ControlMessage {
  std::uint64_t session = 0;     // Differs with each start of the sender.
  config::Version revision = 0;  // Of the sender's configuration.
  config::Version highest_known_revision =
      0;                           // Highest that the sender heard of.
  std::uint32_t view_hash = 0;     // Of the members, see Holders::view.
  bool records_complete = false;   // The sender waits for no records.
  std::uint32_t sync_request = 0;  // Not 0: send what I should hold.
  bool sync_all = false;           // Not only what waits, but all of it.
  // The sender's clock, and the highest one of the peer's that it has seen, in
  // milliseconds of the clock of each. What comes back tells how old the
  // peer's knowledge may be, however long messages take.
  std::uint32_t clock_ms = 0;
  std::uint32_t echoed_clock_ms = 0;
  // Number of the last message with content that the sender sent to this peer,
  // this one included. A gap shows that one was lost.
  std::uint32_t sequence = 0;

  std::uint32_t sync_done = 0;  // Answers the peer's `sync_request`.
  std::vector<TableNotice> tables;
  std::vector<DeviationNotice> deviations;
  std::vector<RecordGroup> records;
  std::vector<FlowKey> closed;  // Flows whose records may be forgotten.

  bool has_content() const {
    return sync_done != 0 || !tables.empty() || !deviations.empty() ||
           !records.empty() || !closed.empty();
  }
  bool operator==(const ControlMessage&) const = default;
};

// CBOR. Thread-safe; never fails.
std::vector<std::uint8_t> Encode(const ControlMessage& message);

// Returns nothing for bytes that are not a whole, well-formed message.
// Thread-safe.
std::optional<ControlMessage> Decode(std::span<const std::uint8_t> bytes);

}  // namespace gcw::routing

#endif  // GCW_SRC_ROUTING_CONTROL_MESSAGE_H_
