#include "gcw/base/system_error.h"

#include <catch2/catch.hpp>
#include <cerrno>

namespace gcw {
namespace {

// A port in use and a full table of descriptors looked like a wrong address, so
// a program ended on either.
TEST_CASE("what passes by itself differs from what needs a person") {
  for (const int passes :
       {EADDRINUSE, EMFILE, ENFILE, ENOBUFS, ENOMEM, EAGAIN}) {
    INFO(passes);
    CHECK(RetryOf(passes) == Retry::kAlways);
  }
  CHECK(RetryOf(EADDRNOTAVAIL) == Retry::kBriefly);
  for (const int needs_person : {EACCES, EPERM, EINVAL, EAFNOSUPPORT}) {
    INFO(needs_person);
    CHECK(RetryOf(needs_person) == Retry::kNever);
  }
}

TEST_CASE("a system error names the call and the cause") {
  const Error error =
      SystemError(ResultCode::kBindFailed, "cannot bind UDP 1.2.3.4:5", EACCES);
  CHECK(error.code == ResultCode::kBindFailed);
  CHECK(error.message == "cannot bind UDP 1.2.3.4:5: Permission denied");
  CHECK(error.retry == Retry::kNever);
}

}  // namespace
}  // namespace gcw
