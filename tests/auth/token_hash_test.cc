#include "gcw/auth/token_hash.h"

#include <catch2/catch.hpp>
#include <string>

namespace gcw::auth {
namespace {

TEST_CASE("a token verifies only against its own hash") {
  auto stored = HashToken("a long random token");
  REQUIRE(stored.ok());
  CHECK(IsTokenHash(stored.value()));
  CHECK(VerifyToken("a long random token", stored.value()));
  CHECK_FALSE(VerifyToken("a long random tokem", stored.value()));
  CHECK_FALSE(VerifyToken("", stored.value()));
  CHECK(stored.value().find("random") == std::string::npos);
}

TEST_CASE("two hashes of the same token differ") {
  CHECK(HashToken("t").value() != HashToken("t").value());
}

TEST_CASE("a hash made by another implementation verifies") {
  // PBKDF2-HMAC-SHA256 of "password" with a salt of 16 zero bytes and one
  // round, computed with Python's hashlib.
  const std::string stored =
      "pbkdf2-sha256:1:00000000000000000000000000000000:"
      "1fefe125ab13dd2c06db86711ec448e9490e6c73024d7d8d659126c6f9fadd68";
  CHECK(VerifyToken("password", stored));
}

TEST_CASE("malformed hashes match no token") {
  const std::string good = HashToken("t").value();
  for (std::size_t length = 0; length < good.size(); ++length) {
    REQUIRE_FALSE(IsTokenHash(good.substr(0, length)));
    REQUIRE_FALSE(VerifyToken("t", good.substr(0, length)));
  }
  CHECK_FALSE(IsTokenHash(good + "0"));
  CHECK_FALSE(IsTokenHash("pbkdf2-sha256:0" + good.substr(18)));
  CHECK_FALSE(IsTokenHash("pbkdf2-sha256:-1" + good.substr(18)));
  CHECK_FALSE(IsTokenHash("pbkdf2-sha256:99999999999" + good.substr(18)));
  CHECK_FALSE(HashToken("").ok());
}

}  // namespace
}  // namespace gcw::auth
