#ifndef GCW_DAEMON_START_SEQUENCE_H_
#define GCW_DAEMON_START_SEQUENCE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "gcw/base/result.h"
#include "gcw/platform/backoff.h"

namespace gcw::daemon {

// The pauses between the attempts to start one part.
inline constexpr platform::BackoffOptions kStartBackoff{
    absl::Milliseconds(100), absl::Milliseconds(500)};
// How long a part is tried again whose error has Retry::kBriefly.
inline constexpr absl::Duration kBriefRetryTime = absl::Seconds(10);

// Starts the parts of a daemon, such as its sockets and threads. A part that
// fails for now is tried again, while the others run. Not thread-safe.
class StartSequence {
 public:
  // Starts a part. Must leave nothing behind if it fails.
  using Start = std::function<Status()>;
  // Called after a failed attempt that is made again: the part, its error and
  // the number of attempts so far.
  using DelayHandler = std::function<
      void(std::string_view part, const Error& error, std::uint64_t attempts)>;

  // `seed` is that of the random parts of the pauses.
  StartSequence(std::uint64_t seed, DelayHandler on_delay);

  // Adds a part, which is started after the earlier ones. `needed`, if not
  // empty, names an earlier part that must run before this one is tried.
  void Add(std::string part, std::string needed, Start start);

  // Tries the parts that do not run and whose pause is over. A lack of memory
  // counts as an error with Retry::kAlways. Returns the error of a part that
  // is not to be tried again, with the name of the part as its field if it has
  // none. `now` is monotonic time.
  Status Run(absl::Time now);

  // Whether this part runs.
  bool running(std::string_view part) const;
  // When Run() is to be called next; InfiniteFuture() if all parts run.
  absl::Time next_attempt() const;

 private:
  struct Part {
    std::string name;
    std::string needed;
    Start start;
    platform::Backoff backoff;
    bool running = false;
    std::uint64_t attempts = 0;
    absl::Time first_attempt = absl::InfiniteFuture();
    absl::Time next_attempt = absl::InfinitePast();
  };

  bool CanTry(const Part& part) const;
  Status Try(Part& part, absl::Time now);

  const std::uint64_t seed_;
  const DelayHandler on_delay_;
  std::vector<Part> parts_;
};

}  // namespace gcw::daemon

#endif  // GCW_DAEMON_START_SEQUENCE_H_
