#ifndef GCW_API_API_SERVER_H_
#define GCW_API_API_SERVER_H_

#include <memory>

#include "gcw/api/api_settings.h"
#include "gcw/base/endpoint.h"
#include "gcw/base/result.h"

namespace gcw::api {

// The resource API over HTTP/1.1, on threads of its own. Keeps nothing that
// must last: any number of servers may run on one platform. Thread-safe.
class ApiServer {
 public:
  // Starts to listen. Fails with kBindFailed.
  static Result<std::unique_ptr<ApiServer>> Make(const ApiSettings& settings);
  // Lets calls that are under way end, ends watches, then stops.
  ~ApiServer();

  // Where it listens; the port is the real one if the settings say 0.
  Endpoint endpoint() const;

 private:
  class Impl;
  explicit ApiServer(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace gcw::api

#endif  // GCW_API_API_SERVER_H_
