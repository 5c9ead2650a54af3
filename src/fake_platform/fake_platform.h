#ifndef GCW_SRC_FAKE_PLATFORM_FAKE_PLATFORM_H_
#define GCW_SRC_FAKE_PLATFORM_FAKE_PLATFORM_H_

#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

#include "gcw/base/endpoint.h"
#include "gcw/platform/platform_client.h"
#include "src/fake_platform/fault_injector.h"
#include "src/fake_platform/server_api_format.h"
#include "src/fake_platform/store.h"

namespace gcw::fake_platform {

// Options of FakePlatform.
struct FakePlatformOptions {
  Endpoint listen;         // Port 0: any free port.
  std::uint64_t seed = 1;  // Seed of the random faults.
  RateLimits limits;
  // Time until a change of the VM list becomes visible.
  absl::Duration vm_list_lag = absl::ZeroDuration();
  std::size_t max_log_events = 100'000;  // Number of events kept for watches.
  std::size_t page_size =
      0;  // Maximum number of objects in one page of a listing; 0: no limit.
  // Maximum number of bytes of the values in one page of a listing, which has
  // at least one object; 0: no limit.
  std::size_t page_bytes = 0;
  // Encoding of requests and responses. Must outlive the FakePlatform.
  const ServerApiFormat* format = &FlatServerApiFormat();
};

// The number of calls of one kind that one client made in one second.
struct CallCount {
  std::int64_t second = 0;  // Seconds since the Unix epoch.
  std::uint32_t client_ip = 0;
  CallKind kind = CallKind::kGet;
  std::uint64_t calls = 0;
};

// A fake platform for tests: an in-memory Store behind an HTTP server that runs
// on its own threads. Faults can be switched on and off at any time. Every call
// is counted, except calls that a partition stops; a watch counts as one call.
// All methods are thread-safe. Clients should close their connections before
// the FakePlatform is destroyed, otherwise the destructor waits until the
// keep-alive timeout of the connections expires.
class FakePlatform {
 public:
  // Starts the HTTP server. Fails with kBindFailed if it cannot listen.
  static Result<std::unique_ptr<FakePlatform>> Make(
      const FakePlatformOptions& options);
  ~FakePlatform();

  // Returns the address and port on which the server listens.
  Endpoint endpoint() const;

  // These methods access the store directly, without faults, rate limits or
  // counting of calls.
  Result<Version> Put(std::string_view key,
                      std::string_view value,
                      Version if_version);
  // Writes `value` as it is, like an unknown writer: answers carry its bytes,
  // which need not be JSON.
  Version PutRaw(std::string_view key, std::string_view value);
  Result<Version> Delete(std::string_view key, Version if_version);
  Result<Object> Get(std::string_view key) const;
  Listing List(std::string_view prefix) const;
  Result<WatchAnswer> EventsAfter(std::string_view prefix, Version after) const;
  Version revision() const;
  // Sets the VM list. Clients see the new list after `vm_list_lag`.
  void SetVms(std::vector<platform::Vm> vms);

  // Starts an outage of the whole platform, or ends it with Outage::kNone.
  void SetOutage(Outage outage);
  // Sets the response time of all calls.
  void SetDelay(const DelayOptions& delay);
  // Sets the probability that the answer to a write is lost after the write has
  // taken effect.
  void SetLostAnswers(double probability);
  // Sets the probability that a write gets no answer and is executed 1 to 6 s
  // later, if its condition still holds then.
  void SetLateWrites(double probability);
  // While `stalled`, no watch is answered, including watches that are already
  // waiting.
  void SetWatchStall(bool stalled);
  // Saves a copy of all objects as they are now, to be returned by stale reads.
  void SaveStaleState();
  // Sets the probability that a list or get call is answered with the objects
  // that SaveStaleState() saved.
  void SetStaleReads(double probability);
  // Saves a copy of the store as it is now, to be restored by Restore().
  void SaveCopy();
  // Replaces the store by the copy that SaveCopy() saved last, or by an empty
  // store. All later changes are lost, leases included, and the epoch that each
  // answer carries rises by one. Watches that are waiting are answered.
  void Restore();
  // How often the store was restored.
  StoreEpoch epoch() const;
  // Starts or ends a network partition of one client. The calls of a
  // partitioned client get no answer and have no effect.
  void SetPartitioned(std::uint32_t client_ip, bool partitioned);
  // Discards all events so far. A watch after an older revision then fails with
  // kPlatformCompacted.
  void Compact();

  // Return the numbers of calls since the start.
  std::vector<CallCount> Calls() const;
  std::uint64_t TotalCalls() const;
  std::uint64_t TotalCalls(CallKind kind) const;

 private:
  class Impl;
  explicit FakePlatform(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace gcw::fake_platform

#endif  // GCW_SRC_FAKE_PLATFORM_FAKE_PLATFORM_H_
