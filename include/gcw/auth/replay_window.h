#ifndef GCW_AUTH_REPLAY_WINDOW_H_
#define GCW_AUTH_REPLAY_WINDOW_H_

#include <cstddef>
#include <memory>

#include "absl/time/time.h"
#include "gcw/auth/signer.h"
#include "gcw/base/result.h"

namespace gcw::auth {

// Remembers which sequence numbers arrived, so that a message is accepted once.
// Use one window for each channel. Not thread-safe.
class ReplayWindow {
 public:
  struct Options {
    // A message older or newer than this by its own timestamp is refused. The
    // bound matters only for senders that this window has not heard of, which
    // is what a restarted receiver has.
    absl::Duration max_skew = absl::Seconds(60);
    // Senders that are remembered; the one heard longest ago is forgotten.
    std::size_t max_senders = 4096;
  };

  ReplayWindow();
  explicit ReplayWindow(const Options& options);
  ~ReplayWindow();
  ReplayWindow(ReplayWindow&&) noexcept;
  ReplayWindow& operator=(ReplayWindow&&) noexcept;

  // Accepts each (sender, sequence) once, in any order within the last 1,024
  // numbers of a sender. `now` is wall-clock time. Fails with kReplayed.
  // Precondition: the message's signature was verified.
  Status Accept(const VerifiedMessage& message, absl::Time now);

  // How many messages were refused.
  std::uint64_t refused() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace gcw::auth

#endif  // GCW_AUTH_REPLAY_WINDOW_H_
