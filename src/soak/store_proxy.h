#ifndef GCW_SOAK_STORE_PROXY_H_
#define GCW_SOAK_STORE_PROXY_H_

#include <memory>

#include "absl/time/time.h"
#include "gcw/base/endpoint.h"
#include "gcw/base/result.h"
#include "src/lab/event_loop.h"

namespace gcw::soak {

// TCP proxy between one daemon and the store, which can delay, stall and reset
// the daemon's connections. Not thread-safe; used on the thread of its loop.
class StoreProxy {
 public:
  // Listens at `listen` and connects to `store`. Fails with kBindFailed. `loop`
  // must outlive the proxy.
  static Result<std::unique_ptr<StoreProxy>> Make(lab::EventLoop& loop,
                                                  const Endpoint& listen,
                                                  const Endpoint& store);
  ~StoreProxy();

  // While silent, data and connection closes are held back in both directions,
  // also on new connections.
  void set_silent(bool silent);
  // Makes the connections that are open now silent for good; new ones work.
  void SilenceOpen();
  // Delays all data by `delay` in each direction.
  void set_delay(absl::Duration delay);
  // Closes every connection at once, also in the middle of calls.
  void Reset();

 private:
  class Impl;
  explicit StoreProxy(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace gcw::soak

#endif  // GCW_SOAK_STORE_PROXY_H_
