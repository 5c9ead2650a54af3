#ifndef GCW_DIRECT_BALANCER_DAEMON_H_
#define GCW_DIRECT_BALANCER_DAEMON_H_

#include <memory>
#include <string>

#include "absl/time/time.h"
#include "gcw/base/result.h"
#include "src/direct_balancer/settings.h"

namespace gcw::direct_balancer {

// The gcw-direct load balancer daemon: owns its tasks, the HTTP endpoints and
// the log, and starts and stops them in order.
class Daemon {
 public:
  // Opens all sockets and starts all threads. Those that fail for now, for
  // example because another process holds a port, are left to ContinueStart(),
  // and the daemon serves without them as far as it can. Reload() reads
  // `settings_path` again. Fails with kBindFailed or kInternal.
  static Result<std::unique_ptr<Daemon>> Make(const Settings& settings,
                                              const std::string& settings_path);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  // Tries again what could not be started yet. Fails with kBindFailed or
  // kInternal if that will not pass by itself. Not thread-safe.
  Status ContinueStart();
  // When ContinueStart() is to be called next, in kernel::MonotonicNow() time;
  // InfiniteFuture() once everything is started. Not thread-safe.
  absl::Time next_start_attempt() const;

  // Reads the settings file again and applies the fields that can change at
  // run time. An invalid file is logged and changes nothing. Not thread-safe.
  void Reload();
  // Reloads if the file has changed since it was last read. Not thread-safe.
  void ReloadIfChanged();

  // Graceful shutdown after `signal`: answers the routers' readiness check
  // with 503 and keeps forwarding packets until the routers send no more, for
  // at most Settings::stop_limit. Returns at once if the daemon has not started
  // far enough to be ready. Blocks. Not thread-safe.
  void Shutdown(int signal);

 private:
  class Impl;
  explicit Daemon(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace gcw::direct_balancer

#endif  // GCW_DIRECT_BALANCER_DAEMON_H_
