#ifndef GCW_BALANCER_STATUS_SERVER_H_
#define GCW_BALANCER_STATUS_SERVER_H_

#include <memory>
#include <nlohmann/json.hpp>

#include "gcw/base/result.h"
#include "gcw/kernel/kernel.h"
#include "src/balancer/settings.h"

namespace gcw::balancer {

// Asks every task for its status. The field "revision" is the one that packets
// are routed by. Waits at most half a second. Thread-safe.
nlohmann::json GatherStatus(const Settings& settings, kernel::Kernel& kernel);

// Answers `GET /status` on the status port, with threads of its own.
class StatusServer {
 public:
  // Fails with kBindFailed. `kernel` must outlive the server.
  static Result<std::unique_ptr<StatusServer>> Make(const Settings& settings,
                                                    kernel::Kernel& kernel);
  // Stops serving and waits for the threads.
  ~StatusServer();
  StatusServer(const StatusServer&) = delete;
  StatusServer& operator=(const StatusServer&) = delete;

 private:
  class Impl;
  explicit StatusServer(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace gcw::balancer

#endif  // GCW_BALANCER_STATUS_SERVER_H_
