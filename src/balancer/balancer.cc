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
// How often a graceful shutdown checks whether all work has ended.
constexpr absl::Duration kShutdownPollInterval = absl::Milliseconds(100);
// How long the cluster task keeps running after FinishShutdown, so that several
// members receive the announcement that this daemon has left.
constexpr absl::Duration kLeaveAnnouncementTime = absl::Milliseconds(500);
// The shutdown completes only after the fabric has sent this daemon nothing for
// this long, which shows that the fabric has stopped using the daemon.
constexpr int kMinFabricSilenceMs = 1000;

// Derives the key number from the secret, so that all daemons use the same
// number for the same key.
auth::SigningKey SigningKeyOf(const std::string& secret) {
  return {static_cast<std::uint8_t>(StableHash(secret)), secret};
}

Result<std::shared_ptr<auth::Signer>> MakeSigner(const Settings& settings) {
  std::optional<auth::SigningKey> other;
  if (settings.cluster_keys.size() > 1) {
    other = SigningKeyOf(settings.cluster_keys[1]);
  }
  return auth::Signer::Make(settings.name,
                            SigningKeyOf(settings.cluster_keys[0]), other,
                            absl::Now());
}

std::uint64_t SeedOf(const Settings& settings) {
  const std::uint64_t seed =
      settings.seed != 0 ? settings.seed : std::random_device{}();
  return MixHash(seed, StableHash(settings.name));
}

bool ReadBool(const nlohmann::json& status,
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
    // The cluster task starts last, because it sends messages to the services
    // of the other tasks, which must be registered by then.
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
    // The cluster task passes BeginShutdown on to the other tasks once this
    // daemon may leave.
    SendToService<ClusterMessage>(kClusterService, BeginShutdown{});
    const bool all_handed_over = WaitUntilDrained();
    SendToService<ClusterMessage>(kClusterService, FinishShutdown{});
    absl::SleepFor(kLeaveAnnouncementTime);
    return all_handed_over;
  }

  nlohmann::json Status() { return GatherStatus(settings_, kernel_); }

 private:
  gcw::Status ServeStatus() {
    daemon::HttpEndpointOptions options;
    options.listen = {settings_.bind, settings_.ports.status};
    options.path = "/status";
    options.content_type = "application/json";
    auto endpoint = daemon::HttpEndpoint::Make(options, [this] {
      return daemon::HttpAnswer{200, Status().dump()};
    });
    if (!endpoint.ok()) {
      return endpoint.error();
    }
    status_endpoint_ = std::move(endpoint).value();
    return OkStatus();
  }

  // Whether, according to `status`, no work is left and the fabric sends no
  // more packets.
  static bool IsDrained(const nlohmann::json& status) {
    if (!ReadBool(status, "dispatch", "drained") ||
        !ReadBool(status, "routing", "handed_over")) {
      return false;
    }
    return status["routing"].value("quiet_ms", 0) >= kMinFabricSilenceMs;
  }

  // Returns false if the daemon is not drained at the shutdown limit.
  bool WaitUntilDrained() {
    const absl::Time limit = absl::Now() + settings_.shutdown_limit;
    while (absl::Now() < limit) {
      absl::SleepFor(kShutdownPollInterval);
      if (IsDrained(Status())) {
        return true;
      }
    }
    return false;
  }

  // Sends `message`, converted to T, to the service that is registered as
  // `service`. The message is lost if there is no such service or its mailbox
  // is full.
  template <typename T, typename M>
  void SendToService(std::string_view service, M message) {
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
  kLog.Info("daemon {} in zone {} serves on {}", settings.name, settings.zone,
            IpToString(settings.bind));
  return std::unique_ptr<Balancer>(new Balancer(std::move(impl)));
}

Balancer::Balancer(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
Balancer::~Balancer() = default;

bool Balancer::Shutdown() {
  const bool all_handed_over = impl_->Shutdown();
  kLog.Info("{}",
            all_handed_over
                ? "graceful shutdown complete, all state handed over"
                : "shutdown limit reached before all state was handed over");
  return all_handed_over;
}

nlohmann::json Balancer::Status() const {
  return impl_->Status();
}

}  // namespace gcw::balancer
