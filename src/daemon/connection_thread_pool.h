#ifndef GCW_DAEMON_CONNECTION_THREAD_POOL_H_
#define GCW_DAEMON_CONNECTION_THREAD_POOL_H_

#include <httplib.h>

#include <cstddef>
#include <functional>
#include <list>
#include <thread>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "gcw/base/endpoint.h"

namespace gcw::daemon {

// Runs each connection of an HTTP server on a thread. Grows while all threads
// are busy, since a waiting watch holds its thread, up to a bound; beyond it
// connections wait for a thread. Thread-safe.
class ConnectionThreadPool : public httplib::TaskQueue {
 public:
  explicit ConnectionThreadPool(std::size_t max_threads);
  ~ConnectionThreadPool() override;

  void enqueue(std::function<void()> task) override;
  // Runs what is queued, then joins all threads.
  void shutdown() override;

 private:
  void Run();
  // Waits for a task. Returns an empty function at the end.
  std::function<void()> Take() ABSL_LOCKS_EXCLUDED(mutex_);

  const std::size_t max_threads_;
  absl::Mutex mutex_;
  std::list<std::function<void()>> tasks_ ABSL_GUARDED_BY(mutex_);
  std::list<std::thread> threads_ ABSL_GUARDED_BY(mutex_);
  std::size_t idle_ ABSL_GUARDED_BY(mutex_) = 0;
  bool ending_ ABSL_GUARDED_BY(mutex_) = false;
};

// Binds `server` to `endpoint` (port 0: any free port) with a listen queue long
// enough for a whole fleet that connects at once. Returns the port, or 0.
int BindServer(httplib::Server* server, const Endpoint& endpoint);

// Serves on a new thread; returns once `server` runs, since its stop() would
// pass over a server that does not yet. Precondition: BindServer succeeded.
std::thread ServeOnThread(httplib::Server* server);

}  // namespace gcw::daemon

#endif  // GCW_DAEMON_CONNECTION_THREAD_POOL_H_
