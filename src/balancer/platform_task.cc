#include "src/balancer/platform_task.h"

#include <utility>
#include <variant>

#include "gcw/cluster/platform_caller.h"

namespace gcw::balancer {
namespace {

constexpr std::string_view kConfigPrefix = "config/";
// A call without an answer fails after this time. The versioned relay, which
// asked for it, then retries with backoff.
constexpr absl::Duration kCallTimeout = absl::Seconds(3);

platform::HttpPlatformOptions ClientOptions(const Settings& settings) {
  platform::HttpPlatformOptions options;
  options.platform = settings.platform;
  options.bind_ip = settings.bind;
  options.call_timeout = kCallTimeout;
  return options;
}

// The platform service: passes the calls of the cluster task to a
// PlatformCaller.
class CallSink : public kernel::Sink<PlatformMessage> {
 public:
  // `caller` must outlive the sink.
  explicit CallSink(cluster::PlatformCaller& caller) : caller_(caller) {}

  bool Send(PlatformMessage message) override {
    caller_.Call(std::get<relay::PlatformCall>(message));
    return true;
  }

 private:
  cluster::PlatformCaller& caller_;
};

}  // namespace

class PlatformTask::Impl {
 public:
  Impl(const Settings& settings, kernel::Kernel& kernel)
      : kernel_(kernel),
        caller_("platform",
                std::string(kConfigPrefix),
                ClientOptions(settings),
                [this](cluster::PlatformOutcome outcome) {
                  SendOutcome(std::move(outcome));
                }) {}

  ~Impl() { kernel_.Unregister(kPlatformService); }

  Status Start() {
    Status started = caller_.Start();
    if (!started.ok()) {
      return started;
    }
    return kernel_.Register<PlatformMessage>(
        kPlatformService, std::make_shared<CallSink>(caller_));
  }

 private:
  void SendOutcome(cluster::PlatformOutcome outcome) {
    const auto cluster = kernel_.Find<ClusterMessage>(kClusterService);
    if (cluster.ok()) {
      std::visit(
          [&](auto& answer) { cluster.value()->Send(std::move(answer)); },
          outcome);
    }
  }

  kernel::Kernel& kernel_;
  cluster::PlatformCaller caller_;
};

PlatformTask::PlatformTask(const Settings& settings, kernel::Kernel& kernel)
    : impl_(std::make_unique<Impl>(settings, kernel)) {}
PlatformTask::~PlatformTask() = default;

Status PlatformTask::Start() {
  return impl_->Start();
}

}  // namespace gcw::balancer
