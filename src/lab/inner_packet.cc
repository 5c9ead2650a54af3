#include "src/lab/inner_packet.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/ip.h>
#include <netinet/tcp.h>
#include <netinet/udp.h>

#include <cstring>

namespace gcw::lab {
namespace {

constexpr std::uint8_t kTimeToLive = 64;
// Marks the payload of a FlowReply; "gcwr" in ASCII.
constexpr std::uint32_t kReplyMagic = 0x67637772;

// Adds the 16-bit big-endian words of `bytes` to `sum`.
std::uint32_t SumWords(std::span<const std::uint8_t> bytes, std::uint32_t sum) {
  for (std::size_t i = 0; i + 1 < bytes.size(); i += 2) {
    sum += static_cast<std::uint32_t>(bytes[i] << 8 | bytes[i + 1]);
  }
  if (bytes.size() % 2 == 1) {
    sum += static_cast<std::uint32_t>(bytes.back() << 8);
  }
  return sum;
}

// The Internet checksum (RFC 1071) for `sum`, a sum of 16-bit words, in network
// byte order.
std::uint16_t FoldChecksum(std::uint32_t sum) {
  while (sum >> 16 != 0) {
    sum = (sum & 0xffff) + (sum >> 16);
  }
  return htons(static_cast<std::uint16_t>(~sum));
}

// The checksum of TCP and UDP covers the segment and a pseudo-header of the
// addresses, the protocol and the length.
std::uint16_t TransportChecksum(const iphdr& ip,
                                std::span<const std::uint8_t> segment) {
  std::uint32_t sum = ip.protocol + static_cast<std::uint32_t>(segment.size());
  for (const std::uint32_t address : {ntohl(ip.saddr), ntohl(ip.daddr)}) {
    sum += (address >> 16) + (address & 0xffff);
  }
  return FoldChecksum(SumWords(segment, sum));
}

iphdr MakeIpHeader(const InnerPacket& packet, std::size_t total) {
  iphdr ip{};
  ip.version = 4;
  ip.ihl = 5;
  ip.ttl = kTimeToLive;
  ip.tot_len = htons(static_cast<std::uint16_t>(total));
  ip.protocol = packet.is_tcp ? IPPROTO_TCP : IPPROTO_UDP;
  ip.saddr = htonl(packet.source.ip);
  ip.daddr = htonl(packet.destination.ip);
  std::uint8_t raw[sizeof(ip)];
  std::memcpy(raw, &ip, sizeof(ip));
  ip.check = FoldChecksum(SumWords(raw, 0));
  return ip;
}

void PutTcp(const InnerPacket& packet, const iphdr& ip, Bytes& bytes) {
  tcphdr tcp{};
  tcp.source = htons(packet.source.port);
  tcp.dest = htons(packet.destination.port);
  tcp.seq = htonl(packet.seq);
  tcp.ack_seq = htonl(packet.ack);
  tcp.doff = sizeof(tcp) / 4;
  tcp.window = htons(0xffff);
  std::memcpy(bytes.data() + sizeof(ip), &tcp, sizeof(tcp));
  bytes[sizeof(ip) + 13] = packet.flags;
  const std::uint16_t check =
      TransportChecksum(ip, std::span(bytes).subspan(sizeof(ip)));
  std::memcpy(bytes.data() + sizeof(ip) + 16, &check, sizeof(check));
}

void PutUdp(const InnerPacket& packet, const iphdr& ip, Bytes& bytes) {
  udphdr udp{};
  udp.source = htons(packet.source.port);
  udp.dest = htons(packet.destination.port);
  udp.len = htons(static_cast<std::uint16_t>(bytes.size() - sizeof(ip)));
  std::memcpy(bytes.data() + sizeof(ip), &udp, sizeof(udp));
  udp.check = TransportChecksum(ip, std::span(bytes).subspan(sizeof(ip)));
  std::memcpy(bytes.data() + sizeof(ip), &udp, sizeof(udp));
}

}  // namespace

Bytes EncodePacket(const InnerPacket& packet) {
  const std::size_t headers =
      sizeof(iphdr) + (packet.is_tcp ? sizeof(tcphdr) : sizeof(udphdr));
  Bytes bytes(headers + packet.payload.size());
  const iphdr ip = MakeIpHeader(packet, bytes.size());
  std::memcpy(bytes.data(), &ip, sizeof(ip));
  if (!packet.payload.empty()) {
    std::memcpy(bytes.data() + headers, packet.payload.data(),
                packet.payload.size());
  }
  if (packet.is_tcp) {
    PutTcp(packet, ip, bytes);
  } else {
    PutUdp(packet, ip, bytes);
  }
  return bytes;
}

std::optional<InnerPacket> DecodePacket(std::span<const std::uint8_t> bytes) {
  iphdr ip;
  if (bytes.size() < sizeof(ip)) {
    return std::nullopt;
  }
  std::memcpy(&ip, bytes.data(), sizeof(ip));
  const bool is_tcp = ip.protocol == IPPROTO_TCP;
  const std::size_t transport = is_tcp ? sizeof(tcphdr) : sizeof(udphdr);
  const std::size_t ip_size = ip.ihl * std::size_t{4};
  if (ip.version != 4 || ip_size < sizeof(ip) ||
      (!is_tcp && ip.protocol != IPPROTO_UDP) ||
      ntohs(ip.tot_len) != bytes.size() || bytes.size() < ip_size + transport) {
    return std::nullopt;
  }
  InnerPacket packet;
  packet.is_tcp = is_tcp;
  packet.source.ip = ntohl(ip.saddr);
  packet.destination.ip = ntohl(ip.daddr);
  std::size_t header_size = transport;
  if (is_tcp) {
    tcphdr tcp;
    std::memcpy(&tcp, bytes.data() + ip_size, sizeof(tcp));
    packet.source.port = ntohs(tcp.source);
    packet.destination.port = ntohs(tcp.dest);
    packet.flags = bytes[ip_size + 13];
    packet.seq = ntohl(tcp.seq);
    packet.ack = ntohl(tcp.ack_seq);
    header_size = tcp.doff * std::size_t{4};
  } else {
    udphdr udp;
    std::memcpy(&udp, bytes.data() + ip_size, sizeof(udp));
    packet.source.port = ntohs(udp.source);
    packet.destination.port = ntohs(udp.dest);
  }
  if (header_size < transport || bytes.size() < ip_size + header_size) {
    return std::nullopt;
  }
  packet.payload = bytes.subspan(ip_size + header_size);
  return packet;
}

Bytes EncodeFlowReply(const FlowReply& reply) {
  Bytes bytes(sizeof(kReplyMagic) + sizeof(reply));
  std::memcpy(bytes.data(), &kReplyMagic, sizeof(kReplyMagic));
  std::memcpy(bytes.data() + sizeof(kReplyMagic), &reply, sizeof(reply));
  return bytes;
}

std::optional<FlowReply> DecodeFlowReply(
    std::span<const std::uint8_t> payload) {
  std::uint32_t magic = 0;
  FlowReply reply;
  if (payload.size() != sizeof(magic) + sizeof(reply)) {
    return std::nullopt;
  }
  std::memcpy(&magic, payload.data(), sizeof(magic));
  std::memcpy(&reply, payload.data() + sizeof(magic), sizeof(reply));
  if (magic != kReplyMagic) {
    return std::nullopt;
  }
  return reply;
}

}  // namespace gcw::lab
