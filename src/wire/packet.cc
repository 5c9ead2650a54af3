#include "gcw/wire/packet.h"

#include <netinet/ip.h>
#include <netinet/tcp.h>
#include <netinet/udp.h>

#include <cassert>
#include <cstring>

namespace gcw::wire {
namespace {

constexpr std::size_t kIpHeaderSize = sizeof(iphdr);
constexpr std::size_t kTcpHeaderSize = sizeof(tcphdr);
constexpr std::size_t kUdpHeaderSize = sizeof(udphdr);
constexpr std::uint8_t kTimeToLive = 64;
constexpr std::uint16_t kFragmentMask = IP_MF | IP_OFFMASK;

template <typename T>
T ReadHeader(std::span<const std::uint8_t> bytes) {
  T header;
  std::memcpy(&header, bytes.data(), sizeof(T));
  return header;
}

// Adds `bytes` to the running `sum` of the Internet checksum (RFC 1071).
std::uint32_t AddToChecksum(std::uint32_t sum,
                            std::span<const std::uint8_t> bytes) {
  for (std::size_t i = 0; i + 1 < bytes.size(); i += 2) {
    sum += static_cast<std::uint32_t>(bytes[i] << 8 | bytes[i + 1]);
  }
  if (bytes.size() % 2 == 1) {
    sum += static_cast<std::uint32_t>(bytes.back() << 8);
  }
  return sum;
}

std::uint16_t FinishChecksum(std::uint32_t sum) {
  while (sum >> 16 != 0) {
    sum = (sum & 0xffff) + (sum >> 16);
  }
  return static_cast<std::uint16_t>(~sum);
}

std::uint32_t PseudoHeaderSum(const Endpoint& source,
                              const Endpoint& destination,
                              Protocol protocol,
                              std::size_t length) {
  return (source.ip >> 16) + (source.ip & 0xffff) + (destination.ip >> 16) +
         (destination.ip & 0xffff) + static_cast<std::uint32_t>(protocol) +
         static_cast<std::uint32_t>(length);
}

void WriteIpHeader(std::span<std::uint8_t> packet,
                   const Endpoint& source,
                   const Endpoint& destination,
                   Protocol protocol) {
  iphdr ip{};
  ip.version = 4;
  ip.ihl = kIpHeaderSize / 4;
  ip.tot_len = htons(static_cast<std::uint16_t>(packet.size()));
  ip.ttl = kTimeToLive;
  ip.protocol = static_cast<std::uint8_t>(protocol);
  ip.saddr = htonl(source.ip);
  ip.daddr = htonl(destination.ip);
  std::memcpy(packet.data(), &ip, sizeof(ip));
  const std::uint16_t sum =
      FinishChecksum(AddToChecksum(0, packet.first(kIpHeaderSize)));
  ip.check = htons(sum);
  std::memcpy(packet.data(), &ip, sizeof(ip));
}

bool ParseTcp(std::span<const std::uint8_t> segment, PacketView& view) {
  if (segment.size() < kTcpHeaderSize) {
    return false;
  }
  const auto tcp = ReadHeader<tcphdr>(segment);
  const std::size_t header_size = tcp.doff * std::size_t{4};
  if (header_size < kTcpHeaderSize || header_size > segment.size()) {
    return false;
  }
  view.source.port = ntohs(tcp.source);
  view.destination.port = ntohs(tcp.dest);
  view.tcp = {tcp.syn != 0, tcp.ack != 0, tcp.fin != 0, tcp.rst != 0};
  view.sequence = ntohl(tcp.seq);
  view.acknowledgement = ntohl(tcp.ack_seq);
  view.payload = segment.subspan(header_size);
  return true;
}

bool ParseUdp(std::span<const std::uint8_t> segment, PacketView& view) {
  if (segment.size() < kUdpHeaderSize) {
    return false;
  }
  const auto udp = ReadHeader<udphdr>(segment);
  const std::size_t length = ntohs(udp.len);
  if (length < kUdpHeaderSize || length > segment.size()) {
    return false;
  }
  view.source.port = ntohs(udp.source);
  view.destination.port = ntohs(udp.dest);
  view.payload = segment.subspan(kUdpHeaderSize, length - kUdpHeaderSize);
  return true;
}

}  // namespace

std::optional<PacketView> PacketView::Parse(
    std::span<const std::uint8_t> bytes) {
  if (bytes.size() < kIpHeaderSize) {
    return std::nullopt;
  }
  const auto ip = ReadHeader<iphdr>(bytes);
  const std::size_t header_size = ip.ihl * std::size_t{4};
  const std::size_t total_length = ntohs(ip.tot_len);
  if (ip.version != 4 || header_size < kIpHeaderSize ||
      total_length < header_size || total_length > bytes.size()) {
    return std::nullopt;
  }
  if ((ntohs(ip.frag_off) & kFragmentMask) != 0) {
    return std::nullopt;
  }
  PacketView view;
  view.source.ip = ntohl(ip.saddr);
  view.destination.ip = ntohl(ip.daddr);
  view.packet = bytes.first(total_length);
  const auto segment = view.packet.subspan(header_size);
  if (ip.protocol == static_cast<std::uint8_t>(Protocol::kTcp)) {
    view.protocol = Protocol::kTcp;
    return ParseTcp(segment, view) ? std::optional(view) : std::nullopt;
  }
  if (ip.protocol == static_cast<std::uint8_t>(Protocol::kUdp)) {
    view.protocol = Protocol::kUdp;
    return ParseUdp(segment, view) ? std::optional(view) : std::nullopt;
  }
  return std::nullopt;
}

std::vector<std::uint8_t> BuildTcpPacket(
    const TcpHeader& header,
    std::span<const std::uint8_t> payload) {
  assert(payload.size() <= kMaxPayload);
  const std::size_t segment_size = kTcpHeaderSize + payload.size();
  std::vector<std::uint8_t> packet(kIpHeaderSize + segment_size);
  WriteIpHeader(packet, header.source, header.destination, Protocol::kTcp);
  tcphdr tcp{};
  tcp.source = htons(header.source.port);
  tcp.dest = htons(header.destination.port);
  tcp.seq = htonl(header.sequence);
  tcp.ack_seq = htonl(header.acknowledgement);
  tcp.doff = kTcpHeaderSize / 4;
  tcp.syn = header.flags.syn;
  tcp.ack = header.flags.ack;
  tcp.fin = header.flags.fin;
  tcp.rst = header.flags.rst;
  tcp.window = htons(0xffff);
  const auto segment = std::span(packet).subspan(kIpHeaderSize);
  std::memcpy(segment.data(), &tcp, sizeof(tcp));
  std::copy(payload.begin(), payload.end(), segment.begin() + kTcpHeaderSize);
  const std::uint32_t pseudo = PseudoHeaderSum(
      header.source, header.destination, Protocol::kTcp, segment_size);
  tcp.check = htons(FinishChecksum(AddToChecksum(pseudo, segment)));
  std::memcpy(segment.data(), &tcp, sizeof(tcp));
  return packet;
}

std::vector<std::uint8_t> BuildUdpPacket(
    const Endpoint& source,
    const Endpoint& destination,
    std::span<const std::uint8_t> payload) {
  assert(payload.size() <= kMaxPayload);
  const std::size_t segment_size = kUdpHeaderSize + payload.size();
  std::vector<std::uint8_t> packet(kIpHeaderSize + segment_size);
  WriteIpHeader(packet, source, destination, Protocol::kUdp);
  udphdr udp{};
  udp.source = htons(source.port);
  udp.dest = htons(destination.port);
  udp.len = htons(static_cast<std::uint16_t>(segment_size));
  const auto segment = std::span(packet).subspan(kIpHeaderSize);
  std::memcpy(segment.data(), &udp, sizeof(udp));
  std::copy(payload.begin(), payload.end(), segment.begin() + kUdpHeaderSize);
  const std::uint32_t pseudo =
      PseudoHeaderSum(source, destination, Protocol::kUdp, segment_size);
  const std::uint16_t sum = FinishChecksum(AddToChecksum(pseudo, segment));
  // RFC 768: a computed checksum of zero is sent as all ones, since zero means
  // that there is no checksum.
  udp.check = htons(sum == 0 ? 0xffff : sum);
  std::memcpy(segment.data(), &udp, sizeof(udp));
  return packet;
}

std::vector<std::uint8_t> BuildReset(const PacketView& packet) {
  assert(packet.protocol == Protocol::kTcp);
  TcpHeader reset;
  reset.source = packet.destination;
  reset.destination = packet.source;
  reset.flags.rst = true;
  if (packet.tcp.ack) {
    reset.sequence = packet.acknowledgement;
    return BuildTcpPacket(reset, {});
  }
  const std::uint32_t length =
      static_cast<std::uint32_t>(packet.payload.size()) +
      (packet.tcp.syn ? 1 : 0) + (packet.tcp.fin ? 1 : 0);
  reset.flags.ack = true;
  reset.acknowledgement = packet.sequence + length;
  return BuildTcpPacket(reset, {});
}

}  // namespace gcw::wire
