#ifndef GCW_BALANCER_BALANCER_H_
#define GCW_BALANCER_BALANCER_H_

#include <memory>
#include <nlohmann/json.hpp>

#include "gcw/base/result.h"
#include "src/balancer/settings.h"

namespace gcw::balancer {

// One daemon: all its tasks, wired together. Not thread-safe.
class Balancer {
 public:
  // Opens every socket and starts every task. Fails with kBindFailed or
  // kSettingsInvalid; nothing runs then.
  static Result<std::unique_ptr<Balancer>> Make(const Settings& settings);

  // Stops all tasks at once.
  ~Balancer();
  Balancer(const Balancer&) = delete;
  Balancer& operator=(const Balancer&) = delete;

  // Leaves gracefully: takes no new work, hands over what others need, and
  // goes on serving until nothing is held and the fabric sends nothing more,
  // at most for the settings' shutdown limit. Whether all was handed over.
  bool Shutdown();

  // What GET /status answers.
  nlohmann::json Status() const;

 private:
  class Impl;
  explicit Balancer(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace gcw::balancer

#endif  // GCW_BALANCER_BALANCER_H_
