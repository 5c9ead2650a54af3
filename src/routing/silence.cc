#include "src/routing/silence.h"

#include <cstdint>
#include <limits>

namespace gcw::routing {
namespace {

// A server that answers nobody for this long may be out of reach: what was sent
// to it meanwhile says nothing about one flow.
constexpr Tick kServerGap = 2 * kTicksPerSecond;

}  // namespace

void NoteSent(FlowEntry& entry,
              const ServerLife& life,
              const FlowPacket& packet,
              Tick tick) {
  entry.last_packet = tick;
  if (packet.payload == 0) {
    return;
  }
  if (entry.first_unanswered < life.talking_since) {
    entry.unanswered = 0;
  }
  if (entry.unanswered == 0) {
    entry.first_unanswered = tick;
  }
  if (entry.unanswered < std::numeric_limits<std::uint8_t>::max()) {
    ++entry.unanswered;
  }
}

void NoteReply(ServerLife& life, Tick tick) {
  if (tick - life.last_reply > kServerGap) {
    life.talking_since = tick;
  }
  life.last_reply = tick;
}

void NoteAnswered(FlowEntry& entry, ServerLife& life, Tick tick) {
  entry.last_packet = tick;
  entry.unanswered = 0;
  NoteReply(life, tick);
}

bool IsSilent(const FlowEntry& entry,
              const ServerLife& life,
              const RouterOptions& options,
              Tick tick) {
  if (entry.unanswered < options.silent_packets ||
      entry.first_unanswered < life.talking_since) {
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
