#ifndef GCW_RELAY_MESSAGE_H_
#define GCW_RELAY_MESSAGE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "gcw/base/result.h"
#include "gcw/relay/object.h"

namespace gcw::relay {

inline constexpr std::size_t kDigestBuckets = 16;

// What a daemon holds: its revision and a hash of its objects.
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

// Two daemons at one revision whose hashes differ compare by bucket.
struct BucketDigest {
  Version revision = 0;
  std::array<std::uint64_t, kDigestBuckets> buckets{};

  bool operator==(const BucketDigest&) const = default;
};

// The objects of the buckets in which two daemons differ. It adds and replaces
// by version and proves no absence.
struct Repair {
  std::vector<Object> objects;

  bool operator==(const Repair&) const = default;
};

using Message = std::variant<Digest, Request, Update, BucketDigest, Repair>;

// Upper bound of the objects' bytes in one Update part, unless one object alone
// is larger.
inline constexpr std::size_t kMaxPartBytes = 48 * 1024;
inline constexpr std::uint32_t kMaxParts = 4096;

// CBOR arrays. Thread-safe.
std::vector<std::uint8_t> Encode(const Message& message);

// Strict: every field is checked for type and range. Fails with
// kMalformedMessage and the field's path. Thread-safe.
Result<Message> Decode(std::span<const std::uint8_t> bytes);

}  // namespace gcw::relay

#endif  // GCW_RELAY_MESSAGE_H_
