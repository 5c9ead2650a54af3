#include "gcw/auth/token_hash.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>

#include <array>
#include <charconv>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace gcw::auth {
namespace {

constexpr std::string_view kScheme = "pbkdf2-sha256";
// Tokens are normally long random texts, which cannot be guessed whatever the
// hash. The rounds slow down guessing of a short token that an operator chose,
// and are few enough that the API can verify a token for each request.
constexpr int kRounds = 1000;
// Stored hashes with more rounds are rejected.
constexpr int kMaxRounds = 1'000'000;
constexpr std::size_t kSaltBytes = 16;
constexpr std::size_t kHashBytes = 32;
constexpr std::string_view kHexDigits = "0123456789abcdef";

using Hash = std::array<std::uint8_t, kHashBytes>;
using Salt = std::array<std::uint8_t, kSaltBytes>;

struct StoredHash {
  int rounds = 0;
  Salt salt{};
  Hash hash{};
};

std::string ToHex(std::span<const std::uint8_t> bytes) {
  std::string text;
  text.reserve(bytes.size() * 2);
  for (std::uint8_t byte : bytes) {
    text.push_back(kHexDigits[byte >> 4]);
    text.push_back(kHexDigits[byte & 15]);
  }
  return text;
}

bool FromHex(std::string_view text, std::span<std::uint8_t> bytes) {
  if (text.size() != bytes.size() * 2) {
    return false;
  }
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    const std::size_t high = kHexDigits.find(text[2 * i]);
    const std::size_t low = kHexDigits.find(text[2 * i + 1]);
    if (high == std::string_view::npos || low == std::string_view::npos) {
      return false;
    }
    bytes[i] = static_cast<std::uint8_t>(high * 16 + low);
  }
  return true;
}

// Removes the text up to and including the next colon from `text` and returns
// it without the colon.
std::string_view NextField(std::string_view& text) {
  const std::size_t colon = text.find(':');
  const std::string_view field = text.substr(0, colon);
  text = colon == std::string_view::npos ? std::string_view()
                                         : text.substr(colon + 1);
  return field;
}

std::optional<int> ParseRounds(std::string_view text) {
  int rounds = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), rounds);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  if (rounds < 1 || rounds > kMaxRounds) {
    return std::nullopt;
  }
  return rounds;
}

std::optional<StoredHash> Parse(std::string_view text) {
  if (NextField(text) != kScheme) {
    return std::nullopt;
  }
  const std::optional<int> rounds = ParseRounds(NextField(text));
  StoredHash stored;
  if (!rounds || !FromHex(NextField(text), stored.salt) ||
      !FromHex(text, stored.hash)) {
    return std::nullopt;
  }
  stored.rounds = *rounds;
  return stored;
}

bool Derive(std::string_view token, const Salt& salt, int rounds, Hash& hash) {
  return PKCS5_PBKDF2_HMAC(token.data(), static_cast<int>(token.size()),
                           salt.data(), static_cast<int>(salt.size()), rounds,
                           EVP_sha256(), static_cast<int>(hash.size()),
                           hash.data()) == 1;
}

}  // namespace

Result<std::string> HashToken(std::string_view token) {
  if (token.empty()) {
    return Error{ResultCode::kInvalidField, "token", "must not be empty"};
  }
  Salt salt{};
  Hash hash{};
  if (RAND_bytes(salt.data(), static_cast<int>(salt.size())) != 1 ||
      !Derive(token, salt, kRounds, hash)) {
    return Error{ResultCode::kInternal, "",
                 "cannot generate a salt or compute the hash"};
  }
  std::string text(kScheme);
  text += ':';
  text += std::to_string(kRounds);
  text += ':';
  text += ToHex(salt);
  text += ':';
  text += ToHex(hash);
  return text;
}

bool IsTokenHash(std::string_view stored) {
  return Parse(stored).has_value();
}

bool VerifyToken(std::string_view token, std::string_view stored) {
  const std::optional<StoredHash> parsed = Parse(stored);
  if (!parsed || token.empty()) {
    return false;
  }
  Hash hash{};
  if (!Derive(token, parsed->salt, parsed->rounds, hash)) {
    return false;
  }
  return CRYPTO_memcmp(hash.data(), parsed->hash.data(), hash.size()) == 0;
}

}  // namespace gcw::auth
