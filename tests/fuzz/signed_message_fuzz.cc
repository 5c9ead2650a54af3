#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <span>
#include <string>
#include <vector>

#include "gcw/auth/signer.h"
#include "gcw/auth/token_hash.h"

namespace auth = gcw::auth;

// Checks that a Signer rejects arbitrary bytes and accepts every message that
// it has signed.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const absl::Time now = absl::FromUnixSeconds(1'800'000'000);
  static const auto signer =
      auth::Signer::Make("a", {1, std::string(32, 'k')}, std::nullopt, now)
          .value();
  const std::span input(data, size);
  if (signer->Verify(auth::Channel::kControl, input).ok()) {
    std::abort();
  }
  const auto message = signer->Sign(auth::Channel::kControl, input, now);
  if (!signer->Verify(auth::Channel::kControl, message).ok()) {
    std::abort();
  }
  // Checks only the format of a token hash; deriving a hash for each input
  // would dominate the run time.
  const std::string text(reinterpret_cast<const char*>(data), size);
  (void)auth::IsTokenHash(text);
  return 0;
}
