#include "gcw/auth/signer.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <utility>

#include "gcw/base/hash.h"

namespace gcw::auth {
namespace {

constexpr std::size_t kHashBytes = 32;
constexpr std::size_t kTimestampBytes = 6;
// Size of the sender id and of the sequence number.
constexpr std::size_t kNumberBytes = 8;
constexpr std::size_t kChannels = 8;

// A full HMAC-SHA256. Messages carry its first kTagBytes bytes.
using Hmac = std::array<std::uint8_t, kHashBytes>;

Error SettingsError(std::string field, std::string message) {
  return Error{ResultCode::kSettingsInvalid, std::move(field),
               std::move(message)};
}

Error MessageError(ResultCode code, std::string message) {
  return Error{code, "", std::move(message)};
}

void AppendNumber(std::vector<std::uint8_t>& out,
                  std::uint64_t value,
                  std::size_t bytes) {
  for (std::size_t i = bytes; i > 0; --i) {
    out.push_back(static_cast<std::uint8_t>(value >> (8 * (i - 1))));
  }
}

std::uint64_t ReadNumber(std::span<const std::uint8_t> bytes) {
  std::uint64_t value = 0;
  for (std::uint8_t byte : bytes) {
    value = (value << 8) | byte;
  }
  return value;
}

// Computes the HMAC over `message` and the channel number. The channel number
// is not sent, because both ends know it. `scratch` is a reusable buffer.
// Returns false if OpenSSL fails.
bool ComputeHmac(const SigningKey& key,
                 Channel channel,
                 std::span<const std::uint8_t> message,
                 std::vector<std::uint8_t>& scratch,
                 Hmac& tag) {
  scratch.assign(message.begin(), message.end());
  scratch.push_back(static_cast<std::uint8_t>(channel));
  unsigned int length = 0;
  const std::uint8_t* result =
      HMAC(EVP_sha256(), key.secret.data(), static_cast<int>(key.secret.size()),
           scratch.data(), scratch.size(), tag.data(), &length);
  return result != nullptr && length == kHashBytes;
}

Status CheckKey(const SigningKey& key, std::string_view field) {
  if (key.secret.size() < kMinSecretBytes) {
    return SettingsError(std::string(field),
                         "a secret must have at least 16 bytes");
  }
  return OkStatus();
}

}  // namespace

SenderId SenderIdOf(std::string_view name) {
  constexpr std::uint64_t kSenderSeed = 0x73656e646572;
  return StableHash(name, kSenderSeed);
}

struct Signer::State {
  SenderId sender = 0;
  SigningKey current;
  std::optional<SigningKey> other;
  // One counter for each channel. With a shared counter, messages on a busy
  // channel would advance the numbers of a quiet one so far that its delayed
  // messages fall out of the receivers' replay windows.
  std::array<std::atomic<std::uint64_t>, kChannels> next_sequence{};

  const SigningKey* FindKey(std::uint8_t id) const {
    if (current.id == id) {
      return &current;
    }
    if (other && other->id == id) {
      return &*other;
    }
    return nullptr;
  }
};

Result<std::shared_ptr<Signer>> Signer::Make(std::string_view sender,
                                             SigningKey current,
                                             std::optional<SigningKey> other,
                                             absl::Time start) {
  if (Status status = CheckKey(current, "keys.current"); !status.ok()) {
    return status.error();
  }
  if (other) {
    if (Status status = CheckKey(*other, "keys.other"); !status.ok()) {
      return status.error();
    }
    if (other->id == current.id) {
      return SettingsError("keys.other.id",
                           "the two keys must have different key numbers");
    }
  }
  auto state = std::make_unique<State>();
  state->sender = SenderIdOf(sender);
  state->current = std::move(current);
  state->other = std::move(other);
  // A daemon signs far fewer than a million messages per second, so counting
  // from the microseconds of its start never reaches the number at which a
  // later start begins.
  for (std::atomic<std::uint64_t>& next : state->next_sequence) {
    next = static_cast<std::uint64_t>(
        std::max<std::int64_t>(absl::ToUnixMicros(start), 1));
  }
  return std::shared_ptr<Signer>(new Signer(std::move(state)));
}

Signer::Signer(std::unique_ptr<State> state) : state_(std::move(state)) {}
Signer::~Signer() = default;

std::vector<std::uint8_t> Signer::Sign(Channel channel,
                                       std::span<const std::uint8_t> payload,
                                       absl::Time now) {
  const std::uint64_t sequence =
      state_->next_sequence[static_cast<std::size_t>(channel) % kChannels]
          .fetch_add(1);
  const auto sent = static_cast<std::uint64_t>(
      std::max<std::int64_t>(absl::ToUnixMillis(now), 0));
  std::vector<std::uint8_t> message;
  message.reserve(payload.size() + kSignedOverheadBytes);
  message.push_back(state_->current.id);
  AppendNumber(message, state_->sender, kNumberBytes);
  AppendNumber(message, sent, kTimestampBytes);
  AppendNumber(message, sequence, kNumberBytes);
  message.insert(message.end(), payload.begin(), payload.end());

  Hmac tag{};
  std::vector<std::uint8_t> scratch;
  // HMAC fails only when memory runs out. The tag is then all zeros, which no
  // receiver accepts.
  ComputeHmac(state_->current, channel, message, scratch, tag);
  message.insert(message.end(), tag.begin(), tag.begin() + kTagBytes);
  return message;
}

Result<VerifiedMessage> Signer::Verify(
    Channel channel,
    std::span<const std::uint8_t> message) const {
  if (message.size() < kSignedOverheadBytes) {
    return MessageError(ResultCode::kMalformedMessage,
                        "message is shorter than header and tag");
  }
  const SigningKey* key = state_->FindKey(message[0]);
  if (key == nullptr) {
    return MessageError(ResultCode::kBadSignature, "unknown key number");
  }
  const auto signed_part = message.first(message.size() - kTagBytes);
  const auto received_tag = message.last(kTagBytes);
  Hmac tag{};
  std::vector<std::uint8_t> scratch;
  if (!ComputeHmac(*key, channel, signed_part, scratch, tag) ||
      CRYPTO_memcmp(tag.data(), received_tag.data(), kTagBytes) != 0) {
    return MessageError(ResultCode::kBadSignature, "the tag does not match");
  }
  VerifiedMessage verified;
  verified.sender = ReadNumber(message.subspan(1, kNumberBytes));
  verified.sent = absl::FromUnixMillis(static_cast<std::int64_t>(
      ReadNumber(message.subspan(1 + kNumberBytes, kTimestampBytes))));
  verified.sequence = ReadNumber(
      message.subspan(1 + kNumberBytes + kTimestampBytes, kNumberBytes));
  verified.payload = signed_part.subspan(kHeaderBytes);
  return verified;
}

SenderId Signer::sender_id() const {
  return state_->sender;
}

}  // namespace gcw::auth
