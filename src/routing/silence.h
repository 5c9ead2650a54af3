#ifndef GCW_SRC_ROUTING_SILENCE_H_
#define GCW_SRC_ROUTING_SILENCE_H_

#include "gcw/routing/options.h"
#include "gcw/routing/packet.h"
#include "src/routing/flow_table.h"
#include "src/routing/server_registry.h"

namespace gcw::routing {

// Detection of silent flows: flows that get no answer from a server that
// answers other flows.

// Notes that `packet` is sent to the server of `entry`. Packets without
// payload, such as bare acknowledgements, need no answer and do not count as
// unanswered.
void NoteSent(FlowEntry& entry,
              const ServerIncarnation& incarnation,
              const FlowPacket& packet,
              Tick tick);

// Notes that the server of `incarnation` sent a packet of any flow.
void NoteServerReply(ServerIncarnation& incarnation, Tick tick);

// Notes that the server of `entry` sent a packet of this flow to its caller.
void NoteFlowReply(FlowEntry& entry, ServerIncarnation& incarnation, Tick tick);

// Whether the flow is silent: packets are sent to its server and not answered,
// while the server answers other flows. An idle flow is never silent, because
// nothing is sent to its server.
bool IsSilent(const FlowEntry& entry,
              const ServerIncarnation& incarnation,
              const RouterOptions& options,
              Tick tick);

}  // namespace gcw::routing

#endif  // GCW_SRC_ROUTING_SILENCE_H_
