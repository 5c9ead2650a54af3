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

// The data that one call works on: the authenticated caller and the
// configuration as read from the platform at the start of the call.
struct CallContext {
  Identity identity;
  config::BuiltSnapshot configuration;
  std::vector<platform::Object> objects;  // As stored under kConfigPrefix.
  Version revision = 0;                   // Of the platform at the read.
};

// Handles calls of the resource API. Keeps no resources between calls: each
// call reads the platform, so any number of processes may serve the same
// operators. Blocks; not thread-safe.
class ResourceService {
 public:
  // `client` and `settings` must outlive the service.
  ResourceService(platform::PlatformClient* client,
                  const ApiSettings* settings,
                  std::uint64_t seed);

  // Handles any request except a watch, which WatchStream serves.
  ApiResponse Handle(const ApiRequest& request);

  // Reads the configuration and authenticates the caller. Fails with
  // kUnauthenticated or a kPlatform* error.
  Result<CallContext> LoadContext(const ApiRequest& request);

 private:
  ApiResponse Dispatch(const ApiRequest& request,
                       const Target& target,
                       const CallContext& context);
  // Handles a GET of one resource. Reads only the caller's organisation and the
  // resource from the platform, not the whole configuration.
  ApiResponse Read(const ApiRequest& request, const Target& target);
  // Authenticates the caller. Reads only the caller's organisation.
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
