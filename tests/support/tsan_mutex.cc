// Tells ThreadSanitizer about the synchronization inside the system's Abseil
// library, which is not built with it: without this, every access under an
// absl::Mutex looks like a data race. The linker routes the calls of our code
// through these wrappers (see cmake/gcw.cmake).

#include <sanitizer/tsan_interface.h>

#include "absl/synchronization/mutex.h"
#include "absl/synchronization/notification.h"
#include "absl/time/clock.h"

namespace {

// The state that a thread may read after it has taken `lock` was written before
// the last call of this function for `lock`.
void BeforeUnlock(void* lock) {
  __tsan_release(lock);
}

void AfterLock(void* lock) {
  __tsan_acquire(lock);
}

// Replaces absl::Mutex::Await(), which evaluates conditions inside the library,
// also on other threads. Returns whether `condition` holds.
bool AwaitUntil(absl::Mutex* mutex,
                const absl::Condition& condition,
                absl::Time deadline) {
  constexpr absl::Duration kPollInterval = absl::Milliseconds(1);
  while (!condition.Eval()) {
    if (absl::Now() >= deadline) {
      return false;
    }
    mutex->Unlock();
    absl::SleepFor(kPollInterval);
    mutex->Lock();
  }
  return true;
}

}  // namespace

// The names are those that the linker option --wrap prescribes.
// NOLINTBEGIN(bugprone-reserved-identifier, readability-identifier-naming)
#define WRAPPED(symbol) __asm__("__wrap_" symbol)
#define ORIGINAL(symbol) __asm__("__real_" symbol)

#define MUTEX "_ZN4absl7debian35Mutex"
#define NOTIFICATION "_ZN4absl7debian312Notification"
#define COND_VAR "_ZN4absl7debian37CondVar"
#define CONDITION "RKNS0_9ConditionE"

void RealLock(absl::Mutex*) ORIGINAL(MUTEX "4LockEv");
void WrapLock(absl::Mutex*) WRAPPED(MUTEX "4LockEv");
void WrapLock(absl::Mutex* mutex) {
  RealLock(mutex);
  AfterLock(mutex);
}

void RealUnlock(absl::Mutex*) ORIGINAL(MUTEX "6UnlockEv");
void WrapUnlock(absl::Mutex*) WRAPPED(MUTEX "6UnlockEv");
void WrapUnlock(absl::Mutex* mutex) {
  BeforeUnlock(mutex);
  RealUnlock(mutex);
}

void WrapAwait(absl::Mutex*, const absl::Condition&)
    WRAPPED(MUTEX "5AwaitE" CONDITION);
void WrapAwait(absl::Mutex* mutex, const absl::Condition& condition) {
  AwaitUntil(mutex, condition, absl::InfiniteFuture());
}

bool WrapAwaitWithTimeout(absl::Mutex*, const absl::Condition&, absl::Duration)
    WRAPPED(MUTEX "16AwaitWithTimeoutE" CONDITION "NS0_8DurationE");
bool WrapAwaitWithTimeout(absl::Mutex* mutex,
                          const absl::Condition& condition,
                          absl::Duration timeout) {
  return AwaitUntil(mutex, condition, absl::Now() + timeout);
}

bool RealWaitWithDeadline(absl::CondVar*, absl::Mutex*, absl::Time)
    ORIGINAL(COND_VAR "16WaitWithDeadlineEPNS0_5MutexENS0_4TimeE");
bool WrapWaitWithDeadline(absl::CondVar*, absl::Mutex*, absl::Time)
    WRAPPED(COND_VAR "16WaitWithDeadlineEPNS0_5MutexENS0_4TimeE");
bool WrapWaitWithDeadline(absl::CondVar* condition,
                          absl::Mutex* mutex,
                          absl::Time deadline) {
  BeforeUnlock(mutex);
  const bool expired = RealWaitWithDeadline(condition, mutex, deadline);
  AfterLock(mutex);
  return expired;
}

void RealNotify(absl::Notification*) ORIGINAL(NOTIFICATION "6NotifyEv");
void WrapNotify(absl::Notification*) WRAPPED(NOTIFICATION "6NotifyEv");
void WrapNotify(absl::Notification* notification) {
  BeforeUnlock(notification);
  RealNotify(notification);
}

void RealWait(const absl::Notification*)
    ORIGINAL("_ZNK4absl7debian312Notification19WaitForNotificationEv");
void WrapWait(const absl::Notification*)
    WRAPPED("_ZNK4absl7debian312Notification19WaitForNotificationEv");
void WrapWait(const absl::Notification* notification) {
  RealWait(notification);
  AfterLock(const_cast<absl::Notification*>(notification));
}
// NOLINTEND(bugprone-reserved-identifier, readability-identifier-naming)
