#ifndef GCW_DISPATCH_CODEC_H_
#define GCW_DISPATCH_CODEC_H_

#include <cstdint>
#include <span>

#include "gcw/base/result.h"
#include "gcw/dispatch/messages.h"
#include "gcw/dispatch/peer_messages.h"

namespace gcw::dispatch {

// Converts messages to and from the CBOR encoding of docs/WIRE.md. All
// functions are thread-safe.

// Returns one datagram that holds `message`.
Bytes Encode(const Message& message);

// Decodes one datagram. Fails with kMalformedMessage and the path of the
// invalid field. Never throws, whatever the bytes are. Ignores unknown fields.
Result<Message> Decode(std::span<const std::uint8_t> bytes);

// Returns one datagram or control message between dispatchers.
Bytes EncodePeer(const PeerMessage& message);

// Decodes a message between dispatchers; errors as in Decode.
Result<PeerMessage> DecodePeer(std::span<const std::uint8_t> bytes);

}  // namespace gcw::dispatch

#endif  // GCW_DISPATCH_CODEC_H_
