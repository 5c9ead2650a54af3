#ifndef GCW_RELAY_MESSAGE_H_
#define GCW_RELAY_MESSAGE_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "gcw/base/result.h"
#include "gcw/relay/object.h"

namespace gcw::relay {

// Summarizes the state of the sending daemon: its revision and a hash of its
// live objects. Two daemons at the same revision should hold the same objects;
// if their hashes differ, the receiver lists all objects from the platform.
struct Digest {
  Version revision = 0;
  std::uint64_t hash = 0;

  bool operator==(const Digest&) const = default;
};

// Asks a peer for all changes with a version above `since`.
struct Request {
  Version since = 0;

  bool operator==(const Request&) const = default;
};

// Carries all changes with versions in (from, to], split into `parts` messages
// that are numbered by `part` from 0. If `full` is set, the parts carry all
// live objects as of `to` instead; an object that is absent has been deleted.
struct Update {
  bool full = false;
  Version from = 0;
  Version to = 0;
  std::uint32_t part = 0;
  std::uint32_t parts = 1;
  std::vector<Object> objects;

  bool operator==(const Update&) const = default;
};

using Message = std::variant<Digest, Request, Update>;

// The revision of the state that the sender of `message` holds, or will have
// sent with all parts of an update. Thread-safe.
Version StateRevisionOf(const Message& message);

// Upper bound for the total size of the objects in one part of an Update. A
// single larger object is sent in a part of its own.
inline constexpr std::size_t kMaxPartBytes = 48 * 1024;
// Decode rejects updates with more parts.
inline constexpr std::uint32_t kMaxParts = 512;

// Encodes a message as a CBOR array. Thread-safe.
std::vector<std::uint8_t> Encode(const Message& message);

// Decodes a message and checks the type and range of every field. Fails with
// kMalformedMessage and the path of the first invalid field. Thread-safe.
Result<Message> Decode(std::span<const std::uint8_t> bytes);

}  // namespace gcw::relay

#endif  // GCW_RELAY_MESSAGE_H_
