#ifndef GCW_SRC_API_CONNECTION_WAITER_H_
#define GCW_SRC_API_CONNECTION_WAITER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <thread>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace gcw::api {

// Waits on one thread for the next request on many connections, so that an idle
// connection occupies no thread of the server. Closes a connection that sends
// nothing for `idle_timeout`, and the one that has waited longest when more
// than `max_connections` wait. Thread-safe.
class ConnectionWaiter {
 public:
  // Takes a connection on which bytes have arrived or which has ended. Called
  // on the waiter's thread; must not block.
  using ReadyCallback = std::function<void(int fd)>;

  ConnectionWaiter(std::size_t max_connections,
                   absl::Duration idle_timeout,
                   ReadyCallback on_ready);
  // Calls Stop().
  ~ConnectionWaiter();
  ConnectionWaiter(const ConnectionWaiter&) = delete;
  ConnectionWaiter& operator=(const ConnectionWaiter&) = delete;

  // Starts to wait. Returns false if the process has no descriptor left.
  bool Start();
  // Takes over the connection `fd`. Closes it if the waiter is stopped.
  void Add(int fd);
  // Closes all connections that wait and ends the thread. Idempotent.
  void Stop();

 private:
  struct Waiting {
    int fd = -1;
    absl::Time deadline;
  };

  void Run();
  // Removes the connection `id` and returns its descriptor; -1 if it has been
  // closed.
  int Take(std::uint64_t id);
  void CloseExpired();
  void CloseOldest() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  const std::size_t max_connections_;
  const absl::Duration idle_timeout_;
  const ReadyCallback on_ready_;
  int epoll_ = -1;
  std::thread thread_;
  absl::Mutex mutex_;
  bool stopped_ ABSL_GUARDED_BY(mutex_) = true;
  std::uint64_t last_id_ ABSL_GUARDED_BY(mutex_) = 0;
  // By an id that is never reused, unlike descriptors; the first one has waited
  // longest.
  std::map<std::uint64_t, Waiting> waiting_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace gcw::api

#endif  // GCW_SRC_API_CONNECTION_WAITER_H_
