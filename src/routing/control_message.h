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

// Tells the receiver of a table of one service.
struct TableNotice {
  ServiceId service = 0;
  TableSpec spec;

  bool operator==(const TableNotice&) const = default;
};

// Tells the receiver that new flows of the buckets of `server` may be placed on
// other servers.
struct DeviationNotice {
  ServiceId service = 0;
  ServerId server = 0;

  bool operator==(const DeviationNotice&) const = default;
};

// Records of flows: each flow in `flows` has been placed on `server`.
struct RecordGroup {
  ServiceId service = 0;
  ServerId server = 0;
  std::vector<FlowKey> flows;

  bool operator==(const RecordGroup&) const = default;
};

// A message from one daemon to another. Each message begins with the state of
// the sender; the lists that follow may be empty.
struct ControlMessage {
  // A number that differs for each start of the sender, and for each time that
  // the sender adds the receiver as a peer.
  std::uint64_t session = 0;
  // Revision of the configuration of the sender.
  config::Version revision = 0;
  // Highest configuration revision that the sender knows to exist.
  config::Version highest_known_revision = 0;
  // Low 32 bits of Holders::view_hash of the sender.
  std::uint32_t view_hash = 0;
  // Whether the sender has all records that it should hold, so no sync is
  // pending.
  bool records_complete = false;
  // Number of a sync that the sender asks for, or 0. The receiver sends the
  // records that the sender should hold.
  std::uint32_t sync_request = 0;
  // Whether the sync must contain all records (true) or only those that are
  // still queued at the receiver (false).
  bool sync_all = false;
  // The clock of the sender, and the highest value of the receiver's clock that
  // the sender has seen, in milliseconds of each daemon's own clock. From the
  // echoed value the receiver knows how old the sender's knowledge of it can
  // be, however long messages take.
  std::uint32_t clock_ms = 0;
  std::uint32_t echoed_clock_ms = 0;
  // Number of the last message with content from the sender to this receiver,
  // including this one. A gap shows that a message was lost.
  std::uint32_t sequence = 0;

  // The `sync_request` number of the receiver that the sender has completed, or
  // 0.
  std::uint32_t sync_done = 0;
  std::vector<TableNotice> tables;
  std::vector<DeviationNotice> deviations;
  std::vector<RecordGroup> records;
  // Flows that were closed, whose records may be dropped.
  std::vector<FlowKey> closed;

  bool has_content() const {
    return sync_done != 0 || !tables.empty() || !deviations.empty() ||
           !records.empty() || !closed.empty();
  }
  bool operator==(const ControlMessage&) const = default;
};

// Encodes `message` as CBOR. Thread-safe; never fails.
std::vector<std::uint8_t> Encode(const ControlMessage& message);

// Decodes a message. Returns nothing unless `bytes` is one complete,
// well-formed message. Thread-safe.
std::optional<ControlMessage> Decode(std::span<const std::uint8_t> bytes);

}  // namespace gcw::routing

#endif  // GCW_SRC_ROUTING_CONTROL_MESSAGE_H_
