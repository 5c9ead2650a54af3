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

// What a daemon holds: its revision and a hash of its live objects. Two daemons
// at one revision hold the same objects; if their hashes differ, the platform
// decides.
struct Digest {
  Version revision = 0;
  std::uint64_t hash = 0;

  bool operator==(const Digest&) const = default;
};

// Asks for every change after `since`.
struct Request {
  Version since = 0;

  bool operator==(const Request&) const = default;
};

// All changes in (from, to], cut into parts. With `full`, all live objects as
// of `to`: an object that is absent was deleted.
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

// Upper bound of the objects' bytes in one Update part, unless one object alone
// is larger.
inline constexpr std::size_t kMaxPartBytes = 48 * 1024;
inline constexpr std::uint32_t kMaxParts = 512;

// CBOR arrays. Thread-safe.
std::vector<std::uint8_t> Encode(const Message& message);

// Strict: every field is checked for type and range. Fails with
// kMalformedMessage and the field's path. Thread-safe.
Result<Message> Decode(std::span<const std::uint8_t> bytes);

}  // namespace gcw::relay

#endif  // GCW_RELAY_MESSAGE_H_
