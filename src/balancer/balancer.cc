#include "src/balancer/balancer.h"

#include <random>
#include <utility>

#include "absl/time/clock.h"
#include "gcw/auth/signer.h"
#include "gcw/base/hash.h"
#include "gcw/base/log.h"
#include "gcw/kernel/kernel.h"
#include "src/balancer/cluster_task.h"
#include "src/balancer/dispatch_task.h"
#include "src/balancer/gather_status.h"
#include "src/balancer/packet_task.h"
#include "src/balancer/platform_task.h"
#include "src/balancer/status_writer_task.h"
#include "src/daemon/http_endpoint.h"

namespace gcw::balancer {
namespace {

constexpr Logger kLog("balancer");
constexpr absl::Duration kShutdownPoll = absl::Milliseconds(100);
// Long enough to tell several members that this one is gone.
constexpr absl::Duration kFarewell = absl::Milliseconds(500);
// The fabric has stopped sending to a daemon that hears nothing this long.
constexpr int kQuietMilliseconds = 1000;
constexpr std::size_t kStatusThreads = 2;

// Keys are numbered by their content, so that all daemons agree.
auth::SigningKey KeyOf(const std::string& secret) {
  return {static_cast<std::uint8_t>(StableHash(secret)), secret};
}

Result<std::shared_ptr<auth::Signer>> MakeSigner(const Settings& settings) {
  std::optional<auth::SigningKey> other;
  if (settings.cluster_keys.size() > 1) {
    other = KeyOf(settings.cluster_keys[1]);
  }
  return auth::Signer::Make(settings.name, KeyOf(settings.cluster_keys[0]),
                            other, absl::Now());
}

std::uint64_t SeedOf(const Settings& settings) {
  const std::uint64_t seed =
      settings.seed != 0 ? settings.seed : std::random_device{}();
  return MixHash(seed, StableHash(settings.name));
}

bool ReadFlag(const nlohmann::json& status,
              const char* part,
              const char* name) {
  const auto it = status.find(part);
  return it != status.end() && it->value(name, false);
}

}  // namespace

class Balancer::Impl {
 public:
  Impl(const Settings& settings, const std::shared_ptr<auth::Signer>& signer)
      : settings_(settings),
        seed_(SeedOf(settings)),
        packet_(settings, signer, kernel_),
        dispatch_(settings, signer, seed_ + 1, kernel_),
        platform_(settings, kernel_),
        status_writer_(settings, seed_ + 2, kernel_),
        cluster_(settings, signer, seed_, kernel_) {}

  gcw::Status Start() {
    // The cluster task comes last: it tells the others what it learns.
    gcw::Status platform = platform_.Start();
    if (!platform.ok()) {
      return platform;
    }
    kernel::Task* const tasks[] = {&packet_, &dispatch_, &status_writer_,
                                   &cluster_};
    for (kernel::Task* task : tasks) {
      gcw::Status started = task->Start();
      if (!started.ok()) {
        return started;
      }
    }
    return ServeStatus();
  }

  bool Shutdown() {
    // The cluster task tells the other tasks when the time has come.
    Tell<ClusterMessage>(kClusterService, BeginShutdown{});
    const bool complete = WaitUntilDone();
    Tell<ClusterMessage>(kClusterService, FinishShutdown{});
    absl::SleepFor(kFarewell);
    return complete;
  }

  nlohmann::json Status() { return GatherStatus(settings_, kernel_); }

 private:
  gcw::Status ServeStatus() {
    daemon::HttpEndpointOptions options;
    options.listen = {settings_.bind, settings_.ports.status};
    options.path = "/status";
    options.content_type = "application/json";
    options.threads = kStatusThreads;
    auto endpoint = daemon::HttpEndpoint::Make(options, [this] {
      return daemon::HttpAnswer{200, Status().dump()};
    });
    if (!endpoint.ok()) {
      return endpoint.error();
    }
    status_endpoint_ = std::move(endpoint).value();
    return OkStatus();
  }

  static bool MayStop(const nlohmann::json& status) {
    if (!ReadFlag(status, "dispatch", "drained") ||
        !ReadFlag(status, "routing", "handed_over")) {
      return false;
    }
    return status["routing"].value("quiet_ms", 0) >= kQuietMilliseconds;
  }

  bool WaitUntilDone() {
    const absl::Time limit = absl::Now() + settings_.shutdown_limit;
    while (absl::Now() < limit) {
      absl::SleepFor(kShutdownPoll);
      if (MayStop(Status())) {
        return true;
      }
    }
    return false;
  }

  template <typename T, typename M>
  void Tell(std::string_view service, M message) {
    const auto sink = kernel_.Find<T>(service);
    if (sink.ok()) {
      sink.value()->Send(std::move(message));
    }
  }

  const Settings settings_;
  const std::uint64_t seed_;
  kernel::Kernel kernel_;
  PacketTask packet_;
  DispatchTask dispatch_;
  PlatformTask platform_;
  StatusWriterTask status_writer_;
  ClusterTask cluster_;
  std::unique_ptr<daemon::HttpEndpoint> status_endpoint_;
};

Result<std::unique_ptr<Balancer>> Balancer::Make(const Settings& settings) {
  auto signer = MakeSigner(settings);
  if (!signer.ok()) {
    return signer.error();
  }
  auto impl = std::make_unique<Impl>(settings, std::move(signer).value());
  const gcw::Status started = impl->Start();
  if (!started.ok()) {
    return started.error();
  }
  kLog.Info("{} in {} serves on {}", settings.name, settings.zone,
            IpToString(settings.bind));
  return std::unique_ptr<Balancer>(new Balancer(std::move(impl)));
}

Balancer::Balancer(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
Balancer::~Balancer() = default;

bool Balancer::Shutdown() {
  const bool complete = impl_->Shutdown();
  kLog.Info("{}", complete ? "left, all handed over"
                           : "left at the time limit, not all handed over");
  return complete;
}

nlohmann::json Balancer::Status() const {
  return impl_->Status();
}

}  // namespace gcw::balancer
