#ifndef SRC_LAB_LOOPBACK_CLAIM_H_
#define SRC_LAB_LOOPBACK_CLAIM_H_

#include <memory>

#include "gcw/base/result.h"

namespace gcw::lab {

// The right of one run to the addresses 127.OCTET.0.0/16, held by a bound
// socket, so that runs beside each other do not clash. Not thread-safe.
class LoopbackClaim {
 public:
  // Fails with kBindFailed when all are taken.
  static Result<std::unique_ptr<LoopbackClaim>> Make();
  ~LoopbackClaim();

  int octet() const { return octet_; }

 private:
  LoopbackClaim(int octet, int fd) : octet_(octet), fd_(fd) {}

  int octet_;
  int fd_;
};

}  // namespace gcw::lab

#endif  // SRC_LAB_LOOPBACK_CLAIM_H_
