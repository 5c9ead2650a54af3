#include "gcw/base/endpoint.h"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <charconv>

namespace gcw {

Result<std::uint32_t> ParseIp(std::string_view text) {
  in_addr address{};
  if (inet_pton(AF_INET, std::string(text).c_str(), &address) != 1) {
    return Error{ResultCode::kInvalidField, "",
                 fmt::format("'{}' is not an IPv4 address", text)};
  }
  return ntohl(address.s_addr);
}

Result<Endpoint> Endpoint::Parse(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return Error{ResultCode::kInvalidField, "",
                 fmt::format("'{}' is not ADDRESS:PORT", text)};
  }
  const Result<std::uint32_t> ip = ParseIp(text.substr(0, colon));
  if (!ip.ok()) {
    return ip.error();
  }
  const std::string_view digits = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  const bool all_parsed = end == digits.data() + digits.size();
  if (error != std::errc() || !all_parsed || port == 0) {
    return Error{ResultCode::kInvalidField, "",
                 fmt::format("'{}' is not a port from 1 to 65535", digits)};
  }
  return Endpoint{ip.value(), port};
}

Endpoint Endpoint::FromSockaddr(const sockaddr_in& address) {
  return Endpoint{ntohl(address.sin_addr.s_addr), ntohs(address.sin_port)};
}

sockaddr_in Endpoint::ToSockaddr() const {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(ip);
  address.sin_port = htons(port);
  return address;
}

std::string IpToString(std::uint32_t ip) {
  return fmt::format("{}.{}.{}.{}", ip >> 24, (ip >> 16) & 255, (ip >> 8) & 255,
                     ip & 255);
}

std::string ToString(const Endpoint& endpoint) {
  return fmt::format("{}:{}", IpToString(endpoint.ip), endpoint.port);
}

}  // namespace gcw
