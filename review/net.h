#ifndef GCW_REVIEW_NET_H_
#define GCW_REVIEW_NET_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <string>

#include "packet.h"

namespace review {

inline sockaddr_in ToSockaddr(const Address& address) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_addr.s_addr = htonl(address.ip);
  out.sin_port = htons(address.port);
  return out;
}

inline std::string IpText(std::uint32_t ip) {
  return std::to_string(ip >> 24) + "." + std::to_string((ip >> 16) & 255) +
         "." + std::to_string((ip >> 8) & 255) + "." + std::to_string(ip & 255);
}

inline std::string Text(const Address& address) {
  return IpText(address.ip) + ":" + std::to_string(address.port);
}

// A bound non-blocking UDP socket, or -1.
inline int OpenUdp(const Address& address) {
  const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int buffer = 4 << 20;
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof(buffer));
  const sockaddr_in bound = ToSockaddr(address);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&bound), sizeof(bound)) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

// A listening non-blocking TCP socket, or -1.
inline int OpenTcp(const Address& address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in bound = ToSockaddr(address);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&bound), sizeof(bound)) != 0 ||
      listen(fd, 128) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

inline void SendUdp(int fd,
                    const Address& to,
                    const std::vector<std::uint8_t>& bytes) {
  const sockaddr_in target = ToSockaddr(to);
  (void)sendto(fd, bytes.data(), bytes.size(), 0,
               reinterpret_cast<const sockaddr*>(&target), sizeof(target));
}

// Whether UDP and TCP port `port` of `ip` are free.
inline bool IsFree(const Address& address) {
  const int udp = OpenUdp(address);
  const int tcp = OpenTcp(address);
  const bool free = udp >= 0 && tcp >= 0;
  if (udp >= 0) {
    close(udp);
  }
  if (tcp >= 0) {
    close(tcp);
  }
  return free;
}

}  // namespace review

#endif  // GCW_REVIEW_NET_H_
