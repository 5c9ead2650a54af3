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

// The result of a successful list call.
struct PlatformListed {
  std::uint64_t id = 0;         // The id of the call.
  relay::Version revision = 0;  // The platform's revision of the objects.
  std::vector<relay::Object> objects;
  platform::SkippedEntries skipped;
};
// The result of a successful watch call.
struct PlatformWatched {
  std::uint64_t id = 0;         // The id of the call.
  relay::Version revision = 0;  // The platform's revision after the events.
  std::vector<relay::Object> events;
  platform::SkippedEntries skipped;
};
// A call that failed with `code`.
struct PlatformFailed {
  std::uint64_t id = 0;  // The id of the call.
  ResultCode code = ResultCode::kPlatformUnavailable;
  std::string message;  // For people.
};
// The outcome of one call to the platform.
using PlatformOutcome =
    std::variant<PlatformListed, PlatformWatched, PlatformFailed>;

// Executes the calls to the platform that a relay::VersionedRelay requests.
// Runs them on a thread of its own, because they block.
class PlatformCaller : public kernel::Task {
 public:
  // Receives the outcome of each call that was executed, also of a cancelled
  // one. Runs on the thread of this PlatformCaller; must not block.
  using DoneCallback = std::function<void(PlatformOutcome)>;

  // `name` is the name of the thread. Lists and watches the objects whose keys
  // start with `prefix`.
  PlatformCaller(std::string name,
                 std::string prefix,
                 const platform::HttpPlatformOptions& options,
                 DoneCallback on_done);
  // Cancels the call in flight, drops those that are queued and waits for the
  // thread to end.
  ~PlatformCaller() override;

  // Starts a call and cancels the one in flight, if any: the relay requests a
  // new call only after it has given up the previous one, which would otherwise
  // block the new one until the platform answers or the call times out.
  // Thread-safe. Precondition: Start() has succeeded.
  void Call(const relay::PlatformCall& call);

 protected:
  Status Setup(kernel::EventLoop& loop) override;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gcw::cluster

#endif  // GCW_CLUSTER_PLATFORM_CALLER_H_
