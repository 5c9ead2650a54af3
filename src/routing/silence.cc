#include "src/routing/silence.h"

#include <cstdint>
#include <limits>

namespace gcw::routing {

void NoteSent(FlowEntry& entry, const FlowPacket& packet, Tick tick) {
  entry.last_packet = tick;
  if (packet.payload == 0) {
    return;
  }
  if (entry.unanswered == 0) {
    entry.first_unanswered = tick;
  }
  if (entry.unanswered < std::numeric_limits<std::uint8_t>::max()) {
    ++entry.unanswered;
  }
}

void NoteAnswered(FlowEntry& entry, ServerLife& life, Tick tick) {
  entry.last_packet = tick;
  entry.unanswered = 0;
  life.last_reply = tick;
}

bool IsSilent(const FlowEntry& entry,
              const ServerLife& life,
              const RouterOptions& options,
              Tick tick) {
  if (entry.unanswered < options.silent_packets) {
    return false;
  }
  const auto bound = static_cast<Tick>(
      absl::ToDoubleSeconds(options.silent_after) * kTicksPerSecond);
  if (tick - entry.first_unanswered < bound) {
    return false;
  }
  // The server answered others well after this flow began to wait.
  return life.last_reply > entry.first_unanswered + bound / 2;
}

}  // namespace gcw::routing
