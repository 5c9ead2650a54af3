#ifndef GCW_DIRECT_BALANCER_DAEMON_H_
#define GCW_DIRECT_BALANCER_DAEMON_H_

#include <memory>
#include <string>

#include "gcw/base/result.h"
#include "src/direct_balancer/settings.h"

namespace gcw::direct_balancer {

// One daemon: its tasks, wired to each other.
class Daemon {
 public:
  // Opens all sockets and starts all threads. `settings_path` is read again on
  // Reload. Fails with kBindFailed or kInternal.
  static Result<std::unique_ptr<Daemon>> Make(const Settings& settings,
                                              const std::string& settings_path);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  // Reads the settings again and takes over what may change while running.
  // Not thread-safe.
  void Reload();
  // Reloads if the file has changed since it was read. Not thread-safe.
  void ReloadIfChanged();

  // Graceful shutdown: tells the routers to send no more packets and goes on
  // until none come, for at most the settings' limit. Blocks. Not thread-safe.
  void Shutdown(int signal);

 private:
  class Impl;
  explicit Daemon(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace gcw::direct_balancer

#endif  // GCW_DIRECT_BALANCER_DAEMON_H_
