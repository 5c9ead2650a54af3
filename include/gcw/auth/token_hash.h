#ifndef GCW_AUTH_TOKEN_HASH_H_
#define GCW_AUTH_TOKEN_HASH_H_

#include <string>
#include <string_view>

#include "gcw/base/result.h"

namespace gcw::auth {

// A salted hash of `token` to be stored in place of it:
// "pbkdf2-sha256:ROUNDS:SALT:HASH", salt and hash in hexadecimal digits. Two
// calls give different texts. Fails with kInvalidField for an empty token and
// with kInternal if the system has no randomness. Thread-safe.
Result<std::string> HashToken(std::string_view token);

// Whether `stored` is a text that HashToken could have made. Thread-safe.
bool IsTokenHash(std::string_view stored);

// Whether `token` is the one that `stored` was made from. Compares in constant
// time; a malformed `stored` matches nothing. Thread-safe.
bool VerifyToken(std::string_view token, std::string_view stored);

}  // namespace gcw::auth

#endif  // GCW_AUTH_TOKEN_HASH_H_
