#ifndef GCW_AUTH_TOKEN_HASH_H_
#define GCW_AUTH_TOKEN_HASH_H_

#include <string>
#include <string_view>

#include "gcw/base/result.h"

namespace gcw::auth {

// Returns a salted hash of `token`, to be stored instead of the token, as
// "pbkdf2-sha256:ROUNDS:SALT:HASH" with salt and hash in hexadecimal. The salt
// is random, so every call returns a different text. Fails with kInvalidField
// for an empty token and with kInternal if no random bytes are available.
// Thread-safe.
Result<std::string> HashToken(std::string_view token);

// Whether `stored` is a well-formed token hash, as HashToken returns it.
// Thread-safe.
bool IsTokenHash(std::string_view stored);

// Whether `stored` is a hash of `token`. Compares in constant time; a malformed
// `stored` matches no token. Thread-safe.
bool VerifyToken(std::string_view token, std::string_view stored);

}  // namespace gcw::auth

#endif  // GCW_AUTH_TOKEN_HASH_H_
