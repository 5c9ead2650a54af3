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

// The thread pool of an HTTP server: runs each connection on one thread. The
// pool grows while all threads are busy, since a watch call occupies its thread
// while it waits for a change. Once it has `max_threads` threads, further
// connections wait for a free thread. Thread-safe.
class ConnectionThreadPool : public httplib::TaskQueue {
 public:
  explicit ConnectionThreadPool(std::size_t max_threads);
  // Calls shutdown().
  ~ConnectionThreadPool() override;

  // Runs `task`, which serves one connection, on a thread of the pool.
  void enqueue(std::function<void()> task) override;
  // Runs the queued tasks, then joins all threads.
  void shutdown() override;

 private:
  // The body of each thread.
  void Run();
  // Waits for a task and removes it from the queue. Returns an empty function
  // once the pool is shut down and the queue is empty.
  std::function<void()> NextTask() ABSL_LOCKS_EXCLUDED(mutex_);

  const std::size_t max_threads_;
  absl::Mutex mutex_;
  std::list<std::function<void()>> tasks_ ABSL_GUARDED_BY(mutex_);
  std::list<std::thread> threads_ ABSL_GUARDED_BY(mutex_);
  std::size_t idle_threads_ ABSL_GUARDED_BY(mutex_) = 0;
  bool shutting_down_ ABSL_GUARDED_BY(mutex_) = false;
};

// Binds `server` to `endpoint` (port 0: any free port) with a listen backlog
// long enough for all daemons of a fleet to connect at the same time. Returns
// the port, or 0 if it cannot be bound.
int BindServer(httplib::Server* server, const Endpoint& endpoint);

// Runs `server` on a new thread and returns that thread. Returns only once the
// server is running, since its stop() has no effect before.
// Precondition: BindServer succeeded.
std::thread ServeOnThread(httplib::Server* server);

}  // namespace gcw::daemon

#endif  // GCW_DAEMON_CONNECTION_THREAD_POOL_H_
