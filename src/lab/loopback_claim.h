#ifndef SRC_LAB_LOOPBACK_CLAIM_H_
#define SRC_LAB_LOOPBACK_CLAIM_H_

#include <memory>

#include "gcw/base/result.h"

namespace gcw::lab {

// Reserves the loopback addresses 127.OCTET.0.0/16 for this process by a bound
// socket, so that concurrent runs use different addresses. The destructor
// releases the addresses. Not thread-safe.
class LoopbackClaim {
 public:
  // Reserves a free octet. Fails with kBindFailed if all octets are in use.
  static Result<std::unique_ptr<LoopbackClaim>> Make();
  ~LoopbackClaim();

  // The second octet of the reserved addresses.
  int octet() const { return octet_; }

 private:
  LoopbackClaim(int octet, int fd) : octet_(octet), fd_(fd) {}

  int octet_;
  int fd_;
};

}  // namespace gcw::lab

#endif  // SRC_LAB_LOOPBACK_CLAIM_H_
