#ifndef GCW_PLATFORM_HTTP_PLATFORM_CLIENT_H_
#define GCW_PLATFORM_HTTP_PLATFORM_CLIENT_H_

#include <cstdint>
#include <memory>

#include "gcw/base/endpoint.h"
#include "gcw/platform/api_format.h"
#include "gcw/platform/platform_client.h"

namespace gcw::platform {

// Options of HttpPlatformClient.
struct HttpPlatformOptions {
  Endpoint platform;
  std::uint32_t bind_ip = 0;  // Local address of the connection; 0: any.
  // Time limit for connecting. When it expires, the call fails with
  // kPlatformUnavailable.
  absl::Duration connect_timeout = absl::Seconds(1);
  // A call fails if nothing is received or nothing can be sent for this time. A
  // watch may additionally receive nothing for the time it waits for events.
  absl::Duration call_timeout = absl::Seconds(3);
  // Interval of TCP keep-alive probes on an idle connection, in whole seconds.
  // A peer that no longer responds is detected within about three intervals.
  // Zero: no probes.
  absl::Duration keep_alive_interval = absl::ZeroDuration();
  // A connection on which no call was made for this time is replaced by the
  // next call. Infinite: never.
  absl::Duration max_idle = absl::InfiniteDuration();
  // Must outlive the client.
  const ApiFormat* format = &FlatApiFormat();
};

// PlatformClient over HTTP/1.1 with one persistent connection. Only one thread
// may use an instance at a time, but any thread may call CancelCall().
class HttpPlatformClient : public PlatformClient {
 public:
  // Creates a client. Does not connect yet and never fails.
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
  StoreEpoch epoch() const override;

  // Cancels the call that is in progress, if any. The call returns as if no
  // answer had come. Thread-safe.
  void CancelCall();

 private:
  class Impl;
  explicit HttpPlatformClient(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace gcw::platform

#endif  // GCW_PLATFORM_HTTP_PLATFORM_CLIENT_H_
