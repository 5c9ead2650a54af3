#ifndef GCW_BASE_THREAD_H_
#define GCW_BASE_THREAD_H_

#include <functional>
#include <thread>

#include "gcw/base/result.h"

namespace gcw {

// Starts a thread that runs `body`. Fails with kInternal, and Retry::kAlways if
// the memory or the number of threads is exhausted. Thread-safe.
Result<std::thread> StartThread(std::function<void()> body);

}  // namespace gcw

#endif  // GCW_BASE_THREAD_H_
