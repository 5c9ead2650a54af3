#ifndef GCW_SRC_ROUTING_SILENCE_H_
#define GCW_SRC_ROUTING_SILENCE_H_

#include "gcw/routing/options.h"
#include "gcw/routing/packet.h"
#include "src/routing/flow_table.h"
#include "src/routing/server_registry.h"

namespace gcw::routing {

// Notes that `packet` goes to the server of `entry`. Packets that need no
// answer, such as bare acknowledgements, do not count as unanswered.
void NoteSent(FlowEntry& entry,
              const ServerIncarnation& incarnation,
              const FlowPacket& packet,
              Tick tick);

// The server sent a reply, of whichever flow.
void NoteServerReply(ServerIncarnation& incarnation, Tick tick);

// Notes that the server of `entry` sent a packet to its caller.
void NoteFlowReply(FlowEntry& entry, ServerIncarnation& incarnation, Tick tick);

// Whether the flow is sent to and not answered while other flows of its server
// are. A quiet flow is never silent: nothing is sent to it.
bool IsSilent(const FlowEntry& entry,
              const ServerIncarnation& incarnation,
              const RouterOptions& options,
              Tick tick);

}  // namespace gcw::routing

#endif  // GCW_SRC_ROUTING_SILENCE_H_
