#include "src/lab/loopback_claim.h"

#include <sys/socket.h>
#include <unistd.h>

#include "gcw/base/endpoint.h"

namespace gcw::lab {
namespace {

// Octets 10 to 249 can be reserved.
constexpr int kFirstOctet = 10;
constexpr int kOctetCount = 240;
// An octet is reserved by binding this UDP port on 127.OCTET.255.254.
constexpr std::uint16_t kClaimPort = 6999;

}  // namespace

Result<std::unique_ptr<LoopbackClaim>> LoopbackClaim::Make() {
  // Starts at an octet that depends on the process, so that runs rarely
  // collide.
  const int start = getpid() % kOctetCount;
  for (int i = 0; i < kOctetCount; ++i) {
    const int octet = kFirstOctet + (start + i) % kOctetCount;
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
  return Error{
      ResultCode::kBindFailed, "",
      "all loopback networks 127.10.0.0/16 to 127.249.0.0/16 are in use"};
}

LoopbackClaim::~LoopbackClaim() {
  close(fd_);
}

}  // namespace gcw::lab
