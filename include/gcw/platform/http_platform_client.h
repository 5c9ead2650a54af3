#ifndef GCW_PLATFORM_HTTP_PLATFORM_CLIENT_H_
#define GCW_PLATFORM_HTTP_PLATFORM_CLIENT_H_

#include <cstdint>
#include <memory>

#include "gcw/base/endpoint.h"
#include "gcw/platform/api_format.h"
#include "gcw/platform/platform_client.h"

namespace gcw::platform {

struct HttpPlatformOptions {
  Endpoint platform;
  std::uint32_t bind_ip = 0;  // Local address of the calls; 0: any.
  absl::Duration connect_timeout = absl::Seconds(1);
  // Longest silence before a call is given up; a watch has its wait on top.
  absl::Duration call_timeout = absl::Seconds(3);
  // Probes on an idle connection, so that one that went silent is noticed
  // within about three of these; zero: none. Whole seconds.
  absl::Duration keep_alive_interval = absl::ZeroDuration();
  // Must outlive the client.
  const ApiFormat* format = &FlatApiFormat();
};

// The platform over HTTP/1.1 in the format of the options, with one connection
// that is kept. One instance per thread, but Stop() may be called from any.
class HttpPlatformClient : public PlatformClient {
 public:
  // Does not connect. Never fails.
  static std::unique_ptr<HttpPlatformClient> Make(
      const HttpPlatformOptions& options);
  ~HttpPlatformClient() override;

  Result<Listing> List(std::string_view prefix) override;
  Result<Object> Get(std::string_view key) override;
  Result<Version> Put(std::string_view key,
                      std::string_view value,
                      Version if_version) override;
  Result<Version> Delete(std::string_view key, Version if_version) override;
  Result<WatchAnswer> Watch(std::string_view prefix,
                            Version after,
                            absl::Duration wait) override;
  Result<std::vector<Vm>> Vms() override;

  // Cuts the call that is under way, if any; it ends as if no answer came.
  // Thread-safe.
  void CancelCall();

 private:
  class Impl;
  explicit HttpPlatformClient(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace gcw::platform

#endif  // GCW_PLATFORM_HTTP_PLATFORM_CLIENT_H_
