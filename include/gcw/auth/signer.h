#ifndef GCW_AUTH_SIGNER_H_
#define GCW_AUTH_SIGNER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "gcw/base/result.h"

namespace gcw::auth {

// Identifies a sender in signed messages: a stable hash of its member name.
using SenderId = std::uint64_t;

// The sender id of the member `name`. Thread-safe.
SenderId SenderIdOf(std::string_view name);

// Where a message travels. A message signed for one channel does not verify on
// another, so a datagram cannot be replayed into a stream.
enum class Channel : std::uint8_t {
  kMembership = 1,
  kControl = 2,
  kPeer = 3,
  kRelay = 4,
};

// A shared secret and the number that messages name it by. While a key is
// being changed, old and new key have different numbers.
struct SigningKey {
  std::uint8_t id = 0;
  std::string secret;  // At least kMinSecretBytes.
};

inline constexpr std::size_t kMinSecretBytes = 16;
// HMAC-SHA256 cut to 128 bits: a forger without the key succeeds with
// probability 2^-128 for each attempt, and every attempt is a datagram that the
// receiver sees. RFC 2104 allows half the hash; the full one would double the
// overhead of small messages.
inline constexpr std::size_t kTagBytes = 16;
// Key number, sender id, milliseconds since the epoch and sequence number.
inline constexpr std::size_t kHeaderBytes = 1 + 8 + 6 + 8;
inline constexpr std::size_t kSignedOverheadBytes = kHeaderBytes + kTagBytes;

// A message whose signature held. `payload` points into the verified bytes.
struct VerifiedMessage {
  SenderId sender = 0;
  absl::Time sent;
  std::uint64_t sequence = 0;
  std::span<const std::uint8_t> payload;
};

// Signs and verifies messages between daemons that share a key. All methods are
// thread-safe; sequence numbers of one signer only grow on each channel, also
// across threads.
class Signer {
 public:
  // Signs with `current` as the member `sender`; verifies with `current` and
  // `other`. To change a key without a stop, give every daemon the new key as
  // `other`, then make it `current`, then drop the old one. `start` seeds the
  // sequence numbers, so a restarted daemon continues above its earlier ones.
  // Fails with kSettingsInvalid for a short secret or equal key numbers.
  static Result<std::shared_ptr<Signer>> Make(std::string_view sender,
                                              SigningKey current,
                                              std::optional<SigningKey> other,
                                              absl::Time start);

  ~Signer();
  Signer(const Signer&) = delete;
  Signer& operator=(const Signer&) = delete;

  // The payload with header and tag around it. `now` is wall-clock time.
  std::vector<std::uint8_t> Sign(Channel channel,
                                 std::span<const std::uint8_t> payload,
                                 absl::Time now);

  // Checks the tag in constant time. Fails with kBadSignature for an unknown
  // key, another channel or a wrong tag and with kMalformedMessage for a short
  // message. The caller must also consult a ReplayWindow.
  Result<VerifiedMessage> Verify(Channel channel,
                                 std::span<const std::uint8_t> message) const;

  // The sender id that this signer puts into messages.
  SenderId sender_id() const;

 private:
  struct State;
  explicit Signer(std::unique_ptr<State> state);

  std::unique_ptr<State> state_;
};

}  // namespace gcw::auth

#endif  // GCW_AUTH_SIGNER_H_
