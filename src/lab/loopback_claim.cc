#include "src/lab/loopback_claim.h"

#include <sys/socket.h>
#include <unistd.h>

#include "gcw/base/endpoint.h"

namespace gcw::lab {
namespace {

constexpr int kFirstOctet = 10;
constexpr int kOctets = 240;
constexpr std::uint16_t kClaimPort = 6999;

}  // namespace

Result<std::unique_ptr<LoopbackClaim>> LoopbackClaim::Make() {
  const int start = getpid() % kOctets;
  for (int i = 0; i < kOctets; ++i) {
    const int octet = kFirstOctet + (start + i) % kOctets;
    const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address =
        Endpoint{static_cast<std::uint32_t>(127U << 24 | octet << 16 | 0xfffe),
                 kClaimPort}
            .ToSockaddr();
    if (bind(fd, reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) == 0) {
      return std::unique_ptr<LoopbackClaim>(new LoopbackClaim(octet, fd));
    }
    close(fd);
  }
  return Error{ResultCode::kBindFailed, "", "no free loopback network"};
}

LoopbackClaim::~LoopbackClaim() {
  close(fd_);
}

}  // namespace gcw::lab
