#ifndef GCW_REVIEW_PACKET_H_
#define GCW_REVIEW_PACKET_H_

#include <cstdint>
#include <cstring>
#include <optional>
#include <string>
#include <vector>

// The users' packets, as PROTOCOL.md describes them: a head of 34 bytes,
// little-endian, followed by data.
namespace review {

inline constexpr std::size_t kHeadBytes = 34;
inline constexpr std::size_t kServerPrefixBytes = 8;

inline constexpr std::uint8_t kSyn = 128;
inline constexpr std::uint8_t kAck = 32;
inline constexpr std::uint8_t kFin = 16;
inline constexpr std::uint8_t kRst = 4;
inline constexpr std::uint8_t kBounced = 2;

struct Address {
  std::uint32_t ip = 0;  // Host byte order.
  std::uint16_t port = 0;

  auto operator<=>(const Address&) const = default;
};

struct Packet {
  Address from;
  Address to;
  std::uint8_t flags = 0;
  std::uint32_t seq = 0;
  std::uint32_t ack = 0;
  std::uint32_t echo = 0;
  std::uint32_t sum = 0;
  std::string data;

  bool has(std::uint8_t flag) const { return (flags & flag) != 0; }
};

// The keyed sum over all fields except echo, pad and BOUNCED. Only clients and
// servers know it. Never 0.
inline std::uint32_t SumOf(const Packet& p) {
  std::uint64_t hash = 0x5bd1e995'9e3779b9;
  const auto mix = [&](std::uint64_t value) {
    hash = (hash ^ value) * 0x100000001b3;
    hash ^= hash >> 29;
  };
  mix(p.from.ip);
  mix(p.from.port);
  mix(p.to.ip);
  mix(p.to.port);
  mix(p.flags & static_cast<std::uint8_t>(~kBounced));
  mix(p.seq);
  mix(p.ack);
  mix(p.data.size());
  for (const char c : p.data) {
    mix(static_cast<std::uint8_t>(c));
  }
  const auto sum = static_cast<std::uint32_t>(hash ^ (hash >> 32));
  return sum == 0 ? 1 : sum;
}

inline void Store(std::vector<std::uint8_t>& bytes,
                  std::size_t offset,
                  std::size_t width,
                  std::uint32_t value) {
  for (std::size_t i = 0; i < width; ++i) {
    bytes[offset + i] = static_cast<std::uint8_t>(value >> (8 * i));
  }
}

inline std::uint32_t Load(const std::uint8_t* bytes, std::size_t width) {
  std::uint32_t value = 0;
  for (std::size_t i = 0; i < width; ++i) {
    value |= static_cast<std::uint32_t>(bytes[i]) << (8 * i);
  }
  return value;
}

// Encodes a packet of a client or a server, with its sum.
inline std::vector<std::uint8_t> Encode(const Packet& p) {
  std::vector<std::uint8_t> bytes(kHeadBytes + p.data.size());
  Store(bytes, 0, 4, p.from.ip);
  Store(bytes, 4, 4, p.to.ip);
  Store(bytes, 8, 2, p.from.port);
  Store(bytes, 10, 2, p.to.port);
  Store(bytes, 12, 2, static_cast<std::uint32_t>(p.data.size()));
  Store(bytes, 14, 1, p.flags);
  Store(bytes, 18, 4, p.seq);
  Store(bytes, 22, 4, p.ack);
  Store(bytes, 26, 4, p.echo);
  Store(bytes, 30, 4, SumOf(p));
  std::memcpy(bytes.data() + kHeadBytes, p.data.data(), p.data.size());
  return bytes;
}

inline std::optional<Packet> Decode(const std::uint8_t* bytes,
                                    std::size_t size) {
  if (size < kHeadBytes || size != kHeadBytes + Load(bytes + 12, 2)) {
    return std::nullopt;
  }
  Packet p;
  p.from.ip = Load(bytes + 0, 4);
  p.to.ip = Load(bytes + 4, 4);
  p.from.port = static_cast<std::uint16_t>(Load(bytes + 8, 2));
  p.to.port = static_cast<std::uint16_t>(Load(bytes + 10, 2));
  p.flags = bytes[14];
  p.seq = Load(bytes + 18, 4);
  p.ack = Load(bytes + 22, 4);
  p.echo = Load(bytes + 26, 4);
  p.sum = Load(bytes + 30, 4);
  p.data.assign(reinterpret_cast<const char*>(bytes) + kHeadBytes,
                size - kHeadBytes);
  return p;
}

// Whether the sum shows that the sender wrote the packet so.
inline bool IsGenuine(const Packet& p) {
  return p.sum == SumOf(p);
}

}  // namespace review

#endif  // GCW_REVIEW_PACKET_H_
