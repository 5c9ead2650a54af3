#ifndef GCW_SRC_API_RESOURCE_SERVICE_H_
#define GCW_SRC_API_RESOURCE_SERVICE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "gcw/api/api_settings.h"
#include "gcw/config/snapshot_builder.h"
#include "gcw/platform/platform_client.h"
#include "src/api/access.h"
#include "src/api/message.h"

namespace gcw::api {

// The configuration as one call sees it, and who makes the call.
struct CallContext {
  Identity identity;
  config::BuiltSnapshot built;
  std::vector<platform::Object> objects;
  Version revision = 0;
};

// Answers calls of the resource API. Keeps nothing between calls: each one
// reads the platform, so any number of processes may serve the same operators.
// Blocks; not thread-safe.
class ResourceService {
 public:
  // `client` and `settings` must outlive the service.
  ResourceService(platform::PlatformClient* client,
                  const ApiSettings* settings,
                  std::uint64_t seed);

  // Answers everything but watches.
  ApiResponse Handle(const ApiRequest& request);

  // Reads the configuration and checks the token.
  Result<CallContext> Open(const ApiRequest& request);

 private:
  ApiResponse Dispatch(const ApiRequest& request,
                       const Target& target,
                       const CallContext& context);
  // Reads the caller's organisation and the resource only, not the whole
  // configuration.
  ApiResponse Read(const ApiRequest& request, const Target& target);
  Result<Identity> Identify(const ApiRequest& request);
  ApiResponse List(const Target& target, const CallContext& context);
  ApiResponse Write(const ApiRequest& request,
                    const Target& target,
                    const CallContext& context);
  ApiResponse ShowStatus(const CallContext& context);
  std::string MakeOperationId(const ApiRequest& request,
                              const Identity& identity);

  platform::PlatformClient* client_;
  const ApiSettings* settings_;
  std::uint64_t seed_;
};

}  // namespace gcw::api

#endif  // GCW_SRC_API_RESOURCE_SERVICE_H_
