#ifndef GCW_BASE_ENDPOINT_H_
#define GCW_BASE_ENDPOINT_H_

#include <netinet/in.h>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "gcw/base/result.h"

namespace gcw {

// An IPv4 address and port, both in host byte order. All functions are
// thread-safe.
struct Endpoint {
  std::uint32_t ip = 0;
  std::uint16_t port = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive on defaulted <=>.
  auto operator<=>(const Endpoint&) const = default;

  // Parses "a.b.c.d:port" with a port from 1 to 65535. Fails with
  // kInvalidField.
  static Result<Endpoint> Parse(std::string_view text);
  // Conversions between Endpoint and sockaddr_in (network byte order).
  static Endpoint FromSockaddr(const sockaddr_in& address);
  sockaddr_in ToSockaddr() const;

  template <typename H>
  friend H AbslHashValue(H h, const Endpoint& e) {
    return H::combine(std::move(h), e.ip, e.port);
  }
};

// Parses "a.b.c.d" into host byte order. Fails with kInvalidField.
Result<std::uint32_t> ParseIp(std::string_view text);
// Formats an address in host byte order as "a.b.c.d".
std::string IpToString(std::uint32_t ip);
// Formats an endpoint as "a.b.c.d:port".
std::string ToString(const Endpoint& endpoint);

}  // namespace gcw

#endif  // GCW_BASE_ENDPOINT_H_
