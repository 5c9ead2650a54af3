#ifndef SRC_LAB_SCHEDULER_H_
#define SRC_LAB_SCHEDULER_H_

#include <functional>
#include <utility>

#include "absl/time/time.h"

namespace gcw::lab {

// A clock and a queue of timed actions. The emulated servers, callers and
// network take the time only from this interface, so tests can run them on a
// manual clock. Not thread-safe.
class Scheduler {
 public:
  virtual ~Scheduler() = default;

  // The current time.
  virtual absl::Time now() const = 0;
  // Runs `action` once, not before `when`; actions of equal time run in the
  // order in which they were added.
  virtual void At(absl::Time when, std::function<void()> action) = 0;

  // Runs `action` once, not before `delay` from now.
  void After(absl::Duration delay, std::function<void()> action) {
    At(now() + delay, std::move(action));
  }
};

}  // namespace gcw::lab

#endif  // SRC_LAB_SCHEDULER_H_
