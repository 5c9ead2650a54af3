#ifndef GCW_CLUSTER_PLATFORM_CALLER_H_
#define GCW_CLUSTER_PLATFORM_CALLER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "gcw/kernel/task.h"
#include "gcw/platform/http_platform_client.h"
#include "gcw/relay/versioned_relay.h"

namespace gcw::cluster {

// The outcomes of calls, each with the id of its call.
struct PlatformListed {
  std::uint64_t id = 0;
  relay::Version revision = 0;
  std::vector<relay::Object> objects;
};
struct PlatformWatched {
  std::uint64_t id = 0;
  relay::Version revision = 0;
  std::vector<relay::Object> events;
};
struct PlatformFailed {
  std::uint64_t id = 0;
  ResultCode code = ResultCode::kPlatformUnavailable;
};
using PlatformOutcome =
    std::variant<PlatformListed, PlatformWatched, PlatformFailed>;

// Makes the calls to the platform that a relay asks for, on a thread of its
// own, since they block.
class PlatformCaller : public kernel::Task {
 public:
  // Called on the caller's thread; must not block.
  using DoneCallback = std::function<void(PlatformOutcome)>;

  // `name` is that of the thread. Calls are about keys that start with
  // `prefix`.
  PlatformCaller(std::string name,
                 std::string prefix,
                 const platform::HttpPlatformOptions& options,
                 DoneCallback done);
  // Cuts the call that is under way and waits for the thread.
  ~PlatformCaller() override;

  // Begins a call. One that is under way is cut: a new one means that it was
  // given up, and it would hold up this one for as long as the platform stays
  // silent. Thread-safe. Precondition: started.
  void Call(const relay::PlatformCall& call);

 protected:
  Status Setup(kernel::EventLoop& loop) override;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gcw::cluster

#endif  // GCW_CLUSTER_PLATFORM_CALLER_H_
