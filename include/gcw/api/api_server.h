#ifndef GCW_API_API_SERVER_H_
#define GCW_API_API_SERVER_H_

#include <memory>

#include "gcw/api/api_settings.h"
#include "gcw/base/endpoint.h"
#include "gcw/base/result.h"

namespace gcw::api {

// Serves the resource API over HTTP/1.1 on its own threads. Holds no durable
// state, so any number of servers may run on one platform. Thread-safe.
class ApiServer {
 public:
  // Starts listening on `settings.listen`. Fails with kBindFailed.
  static Result<std::unique_ptr<ApiServer>> Make(const ApiSettings& settings);
  // Ends all watches, waits for the other calls in progress, then stops.
  ~ApiServer();

  // The address that the server listens on. If the port in the settings is 0,
  // this holds the port that the kernel chose.
  Endpoint endpoint() const;

 private:
  class Impl;
  explicit ApiServer(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace gcw::api

#endif  // GCW_API_API_SERVER_H_
