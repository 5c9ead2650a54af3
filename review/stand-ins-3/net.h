#ifndef REVIEW_STAND_INS_3_NET_H_
#define REVIEW_STAND_INS_3_NET_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <string>

namespace review3 {

// An IPv4 address in host byte order, and a port.
struct Address {
  std::uint32_t ip = 0;
  std::uint16_t port = 0;

  auto operator<=>(const Address&) const = default;
};

inline std::string IpText(std::uint32_t ip) {
  return std::to_string(ip >> 24) + "." + std::to_string(ip >> 16 & 255) + "." +
         std::to_string(ip >> 8 & 255) + "." + std::to_string(ip & 255);
}
inline std::string Text(const Address& address) {
  return IpText(address.ip) + ":" + std::to_string(address.port);
}

inline sockaddr_in ToSockaddr(const Address& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_addr.s_addr = htonl(address.ip);
  result.sin_port = htons(address.port);
  return result;
}

// Opens a socket of `type` that is bound to `address`, or returns -1.
inline int OpenSocket(int type, const Address& address) {
  const int fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (type == SOCK_STREAM) {
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  }
  const sockaddr_in where = ToSockaddr(address);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&where), sizeof(where)) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

inline int OpenListener(const Address& address) {
  const int fd = OpenSocket(SOCK_STREAM, address);
  if (fd >= 0 && listen(fd, 256) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

inline void SendDatagram(int fd, const Address& to, const std::string& bytes) {
  const sockaddr_in where = ToSockaddr(to);
  (void)sendto(fd, bytes.data(), bytes.size(), 0,
               reinterpret_cast<const sockaddr*>(&where), sizeof(where));
}

// Receives one datagram. Returns false if there is none.
inline bool ReceiveDatagram(int fd, std::string* bytes, Address* from) {
  char buffer[2048];
  sockaddr_in where{};
  socklen_t length = sizeof(where);
  const ssize_t count = recvfrom(fd, buffer, sizeof(buffer), 0,
                                 reinterpret_cast<sockaddr*>(&where), &length);
  if (count < 0) {
    return false;
  }
  bytes->assign(buffer, static_cast<std::size_t>(count));
  *from = {ntohl(where.sin_addr.s_addr), ntohs(where.sin_port)};
  return true;
}

}  // namespace review3

#endif  // REVIEW_STAND_INS_3_NET_H_
