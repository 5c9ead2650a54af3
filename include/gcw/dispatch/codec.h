#ifndef GCW_DISPATCH_CODEC_H_
#define GCW_DISPATCH_CODEC_H_

#include <cstdint>
#include <span>

#include "gcw/base/result.h"
#include "gcw/dispatch/messages.h"
#include "gcw/dispatch/peer_messages.h"

namespace gcw::dispatch {

// The CBOR form of docs/WIRE.md. All functions are thread-safe.

// One datagram that holds `message`.
Bytes Encode(const Message& message);

// Reads one datagram. Fails with kMalformedMessage and the path of the field
// at fault; never throws, whatever the bytes are. Unknown fields are ignored.
Result<Message> Decode(std::span<const std::uint8_t> bytes);

// One datagram or stream message between dispatchers.
Bytes EncodePeer(const PeerMessage& message);

// As Decode.
Result<PeerMessage> DecodePeer(std::span<const std::uint8_t> bytes);

}  // namespace gcw::dispatch

#endif  // GCW_DISPATCH_CODEC_H_
