#include "src/routing/silence.h"

#include <cstdint>
#include <limits>

namespace gcw::routing {
namespace {

// A server that answers no flow for this long may be unreachable. Packets that
// were sent to it meanwhile do not show that one flow has stalled.
constexpr Tick kServerSilenceGap = 2 * kTicksPerSecond;

}  // namespace

void NoteSent(FlowEntry& entry,
              const ServerIncarnation& incarnation,
              const FlowPacket& packet,
              Tick tick) {
  entry.last_packet = tick;
  if (packet.payload == 0) {
    return;
  }
  if (entry.first_unanswered < incarnation.replying_since) {
    entry.unanswered = 0;
  }
  if (entry.unanswered == 0) {
    entry.first_unanswered = tick;
  }
  if (entry.unanswered < std::numeric_limits<std::uint8_t>::max()) {
    ++entry.unanswered;
  }
}

void NoteServerReply(ServerIncarnation& incarnation, Tick tick) {
  if (tick - incarnation.last_reply > kServerSilenceGap) {
    incarnation.replying_since = tick;
  }
  incarnation.last_reply = tick;
}

void NoteFlowReply(FlowEntry& entry,
                   ServerIncarnation& incarnation,
                   Tick tick) {
  entry.last_packet = tick;
  entry.unanswered = 0;
  NoteServerReply(incarnation, tick);
}

bool IsSilent(const FlowEntry& entry,
              const ServerIncarnation& incarnation,
              const RouterOptions& options,
              Tick tick) {
  if (entry.unanswered < options.silence_min_packets ||
      entry.first_unanswered < incarnation.replying_since) {
    return false;
  }
  const auto timeout = static_cast<Tick>(
      absl::ToDoubleSeconds(options.silence_timeout) * kTicksPerSecond);
  if (tick - entry.first_unanswered < timeout) {
    return false;
  }
  // The server has answered other flows well after this flow began to wait.
  return incarnation.last_reply > entry.first_unanswered + timeout / 2;
}

}  // namespace gcw::routing
