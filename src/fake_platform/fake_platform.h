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

struct FakePlatformOptions {
  Endpoint listen;  // Port 0: any free port.
  std::uint64_t seed = 1;
  RateLimits limits;
  absl::Duration vm_list_lag = absl::ZeroDuration();
  std::size_t log_size = 100'000;  // Events kept for watches.
  std::size_t page_size = 0;       // Objects in one answer to a list; 0: all.
  // Must outlive the platform.
  const ServerApiFormat* format = &FlatServerApiFormat();
};

// How many calls of one kind came from one client in one second.
struct CallCount {
  std::int64_t second = 0;  // Since the epoch.
  std::uint32_t client_ip = 0;
  CallKind kind = CallKind::kGet;
  std::uint64_t calls = 0;
};

// A stand-in for the platform: a store behind an HTTP server
// on threads of its own, with faults that can be switched at any time. Calls
// that a partition stops are not counted; all others are, a watch as one.
// All methods are thread-safe. Clients should close their connections before
// the platform is destroyed, otherwise that waits for their keep-alive.
class FakePlatform {
 public:
  // Starts to listen. Fails with kBindFailed.
  static Result<std::unique_ptr<FakePlatform>> Make(
      const FakePlatformOptions& options);
  ~FakePlatform();

  Endpoint endpoint() const;

  // Direct access, without faults, limits or counting.
  Result<Version> Put(std::string_view key,
                      std::string_view value,
                      Version if_version);
  Result<Version> Delete(std::string_view key, Version if_version);
  Result<Object> Get(std::string_view key) const;
  Listing List(std::string_view prefix) const;
  Result<WatchAnswer> EventsAfter(std::string_view prefix, Version after) const;
  Version revision() const;
  // What the VM list answers once its lag is over.
  void SetVms(std::vector<platform::Vm> vms);

  // Faults.
  void SetOutage(Outage outage);
  void SetDelay(const DelayOptions& delay);
  // Share of writes whose answer is lost after they have taken effect.
  void SetLostAnswers(double share);
  // While stalled, no watch is answered, also none that already waits.
  void SetWatchStall(bool stalled);
  // Keeps a copy of all objects for stale reads.
  void SaveStaleState();
  // Share of lists and gets answered from the copy of SaveStaleState().
  void SetStaleReads(double share);
  // A partitioned client gets no answer and its calls have no effect.
  void SetPartitioned(std::uint32_t client_ip, bool partitioned);
  // Forgets the events so far: older watches must list again.
  void Compact();

  // Counters since the start.
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
