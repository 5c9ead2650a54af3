#ifndef GCW_AUTH_REPLAY_WINDOW_H_
#define GCW_AUTH_REPLAY_WINDOW_H_

#include <cstddef>
#include <memory>

#include "absl/time/time.h"
#include "gcw/auth/signer.h"
#include "gcw/base/result.h"

namespace gcw::auth {

// Protects against replayed messages: remembers which sequence numbers arrived
// from each sender, so that a message is accepted only once. Use one window per
// channel. Not thread-safe.
class ReplayWindow {
 public:
  struct Options {
    // A message is refused if its timestamp differs from the receiver's clock
    // by more than this. The bound is needed for senders of which the window
    // holds no sequence numbers, as all senders after a restart of the
    // receiver.
    absl::Duration max_skew = absl::Seconds(60);
    // Maximum number of senders in the window. A new sender replaces the one
    // that was heard from least recently.
    std::size_t max_senders = 4096;
  };

  ReplayWindow();
  explicit ReplayWindow(const Options& options);
  ~ReplayWindow();
  ReplayWindow(ReplayWindow&&) noexcept;
  ReplayWindow& operator=(ReplayWindow&&) noexcept;

  // Accepts each sequence number of a sender once. The numbers may arrive in
  // any order, but a number that is 1,024 or more below the highest one is
  // refused. `now` is wall-clock time. Fails with kReplayed. Precondition: the
  // message's signature was verified.
  Status Accept(const VerifiedMessage& message, absl::Time now);

  // The number of messages that were refused.
  std::uint64_t refused_messages() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace gcw::auth

#endif  // GCW_AUTH_REPLAY_WINDOW_H_
