#ifndef GCW_BALANCER_BALANCER_H_
#define GCW_BALANCER_BALANCER_H_

#include <memory>
#include <nlohmann/json.hpp>

#include "gcw/base/result.h"
#include "src/balancer/settings.h"

namespace gcw::balancer {

// The gcw-balancer daemon: owns its tasks, which communicate by messages, and
// the HTTP endpoint for its status. Not thread-safe.
class Balancer {
 public:
  // Opens every socket and starts every task. Fails with kBindFailed,
  // kSettingsInvalid or kInternal; no task runs then.
  static Result<std::unique_ptr<Balancer>> Make(const Settings& settings);

  // Stops all tasks without a graceful shutdown.
  ~Balancer();
  Balancer(const Balancer&) = delete;
  Balancer& operator=(const Balancer&) = delete;

  // Graceful shutdown: accepts no new work and hands state over to the other
  // daemons. Existing work is served until none is left and the fabric sends no
  // more packets, for at most Settings::shutdown_limit. Blocks. Returns whether
  // everything was handed over in time.
  bool Shutdown();

  // The status report that GET /status answers with.
  nlohmann::json Status() const;

 private:
  class Impl;
  explicit Balancer(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace gcw::balancer

#endif  // GCW_BALANCER_BALANCER_H_
