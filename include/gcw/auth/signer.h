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

// The transport that a message is sent over. A message signed for one channel
// does not verify on another, so that, for example, a datagram cannot be
// replayed into a stream.
enum class Channel : std::uint8_t {
  kMembership = 1,  // Membership datagrams.
  kControl = 2,     // Control messages, over TCP.
  kPeer = 3,        // Dispatch datagrams between daemons.
  kRelay = 4,       // Packets that one daemon relays to another.
  kLoad = 5,        // Load datagrams between daemons.
};

// A shared secret and its key number, which every signed message carries.
// During a key rotation, the old and the new key have different numbers.
struct SigningKey {
  std::uint8_t id = 0;
  std::string secret;  // At least kMinSecretBytes.
};

inline constexpr std::size_t kMinSecretBytes = 16;
// The tag is HMAC-SHA256 truncated to 128 bits. A forger without the key
// succeeds with probability 2^-128 per attempt, and each attempt is a datagram
// that the receiver sees. RFC 2104 permits truncation to half of the hash; the
// full hash would double the overhead of small messages.
inline constexpr std::size_t kTagBytes = 16;
// The header: key number, sender id, milliseconds since the Unix epoch and
// sequence number.
inline constexpr std::size_t kHeaderBytes = 1 + 8 + 6 + 8;
inline constexpr std::size_t kSignedOverheadBytes = kHeaderBytes + kTagBytes;

// A message whose signature is valid. `payload` points into the bytes that were
// verified, which must outlive the struct.
struct VerifiedMessage {
  SenderId sender = 0;
  absl::Time sent;  // Wall-clock time of the sender, in whole milliseconds.
  std::uint64_t sequence = 0;
  std::span<const std::uint8_t> payload;
};

// Signs and verifies messages between daemons that share a key. On each
// channel, every message that a signer signs has a higher sequence number than
// the one before, whichever thread signs it. All methods are thread-safe.
class Signer {
 public:
  // Makes a signer that signs with `current` as the member `sender` and
  // verifies with `current` and `other`. To rotate keys without downtime, give
  // every daemon the new key as `other`, then make it `current`, then remove
  // the old key. `start` is the wall-clock time of the daemon's start; the
  // sequence numbers begin there, so that they stay above those of an earlier
  // process. Fails with kSettingsInvalid for a short secret or equal key
  // numbers. Thread-safe.
  static Result<std::shared_ptr<Signer>> Make(std::string_view sender,
                                              SigningKey current,
                                              std::optional<SigningKey> other,
                                              absl::Time start);

  ~Signer();
  Signer(const Signer&) = delete;
  Signer& operator=(const Signer&) = delete;

  // Returns the payload with the header before it and the tag after it. `now`
  // is wall-clock time.
  std::vector<std::uint8_t> Sign(Channel channel,
                                 std::span<const std::uint8_t> payload,
                                 absl::Time now);

  // Checks the tag of `message`, comparing it in constant time. Fails with
  // kBadSignature for an unknown key number, a message signed for another
  // channel or a wrong tag, and with kMalformedMessage for a message that is
  // too short. Does not detect replays: the caller must also consult a
  // ReplayWindow.
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
