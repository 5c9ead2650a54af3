#ifndef SRC_LAB_SCHEDULER_H_
#define SRC_LAB_SCHEDULER_H_

#include <functional>
#include <utility>

#include "absl/time/time.h"

namespace gcw::lab {

// A clock and a queue of actions. The fakes see time only through it, so tests
// drive them with a clock of their own. Not thread-safe.
class Scheduler {
 public:
  virtual ~Scheduler() = default;

  virtual absl::Time now() const = 0;
  // Runs `action` once, not before `when`; actions of equal time run in the
  // order in which they were added.
  virtual void At(absl::Time when, std::function<void()> action) = 0;

  void After(absl::Duration delay, std::function<void()> action) {
    At(now() + delay, std::move(action));
  }
};

}  // namespace gcw::lab

#endif  // SRC_LAB_SCHEDULER_H_
