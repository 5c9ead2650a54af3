#include "src/balancer/platform_task.h"

#include <algorithm>
#include <utility>

#include "gcw/base/log.h"
#include "gcw/kernel/mailbox.h"
#include "gcw/platform/http_platform_client.h"

namespace gcw::balancer {
namespace {

constexpr Logger kLog("platform");
constexpr std::string_view kConfigPrefix = "config/";
constexpr std::size_t kMailboxCapacity = 100;
constexpr absl::Duration kLongestCall = absl::Seconds(3);

relay::Object ObjectOf(const platform::Object& object) {
  return {object.key, object.version, object.created, object.value, false};
}

relay::Object ObjectOf(const platform::WatchEvent& event) {
  relay::Object object = ObjectOf(event.object);
  object.deleted = event.deleted;
  return object;
}

// Takes calls for the platform task. A new call means that the one under way
// was given up, so that one is cut: it would hold up the new one for as long as
// the platform stays silent.
class CallSink : public kernel::Sink<PlatformMessage> {
 public:
  // `client` must outlive the sink.
  CallSink(platform::HttpPlatformClient& client,
           std::shared_ptr<kernel::Sink<PlatformMessage>> mailbox)
      : client_(client), mailbox_(std::move(mailbox)) {}

  bool Send(PlatformMessage message) override {
    client_.Stop();
    return mailbox_->Send(message);
  }

 private:
  platform::HttpPlatformClient& client_;
  const std::shared_ptr<kernel::Sink<PlatformMessage>> mailbox_;
};

}  // namespace

class PlatformTask::Impl {
 public:
  Impl(const Settings& settings, kernel::Kernel& kernel)
      : kernel_(kernel), client_(MakeClient(settings)) {}

  Status Setup(kernel::EventLoop& loop) {
    auto mailbox = kernel::Mailbox<PlatformMessage>::Make(kMailboxCapacity);
    if (!mailbox.ok()) {
      return mailbox.error();
    }
    mailbox_ = std::move(mailbox).value();
    Status attached = mailbox_->Attach(loop, [this](PlatformMessage& message) {
      Call(std::get<relay::PlatformCall>(message));
    });
    if (!attached.ok()) {
      return attached;
    }
    return kernel_.Register<PlatformMessage>(
        kPlatformService, std::make_shared<CallSink>(*client_, mailbox_));
  }

  ~Impl() { kernel_.Unregister(kPlatformService); }

  // Thread-safe.
  void CutCall() { client_->Stop(); }

 private:
  static std::unique_ptr<platform::HttpPlatformClient> MakeClient(
      const Settings& settings) {
    platform::HttpPlatformOptions options;
    options.platform = settings.platform;
    options.bind_ip = settings.bind;
    options.call_timeout = kLongestCall;
    return platform::HttpPlatformClient::Make(options);
  }

  void Call(const relay::PlatformCall& call) {
    if (call.type == relay::CallType::kList) {
      List(call);
    } else {
      Watch(call);
    }
  }

  void List(const relay::PlatformCall& call) {
    auto listing = client_->List(kConfigPrefix);
    if (!listing.ok()) {
      Fail(call, listing.error());
      return;
    }
    PlatformListed listed{call.id, listing.value().revision, {}};
    for (const platform::Object& object : listing.value().objects) {
      listed.objects.push_back(ObjectOf(object));
    }
    Answer(std::move(listed));
  }

  void Watch(const relay::PlatformCall& call) {
    auto answer = client_->Watch(kConfigPrefix, call.after, call.wait);
    if (!answer.ok()) {
      Fail(call, answer.error());
      return;
    }
    PlatformWatched watched{call.id, answer.value().revision, {}};
    for (const platform::WatchEvent& event : answer.value().events) {
      watched.events.push_back(ObjectOf(event));
    }
    Answer(std::move(watched));
  }

  void Fail(const relay::PlatformCall& call, const Error& error) {
    kLog.Debug("call {} failed: {}", call.id, ToString(error));
    Answer(PlatformFailed{call.id, error.code});
  }

  template <typename M>
  void Answer(M message) {
    const auto cluster = kernel_.Find<ClusterMessage>(kClusterService);
    if (cluster.ok()) {
      cluster.value()->Send(std::move(message));
    }
  }

  kernel::Kernel& kernel_;
  const std::unique_ptr<platform::HttpPlatformClient> client_;
  std::shared_ptr<kernel::Mailbox<PlatformMessage>> mailbox_;
};

PlatformTask::PlatformTask(const Settings& settings, kernel::Kernel& kernel)
    : Task("platform"), impl_(std::make_unique<Impl>(settings, kernel)) {}

PlatformTask::~PlatformTask() {
  impl_->CutCall();
  Stop();
}

Status PlatformTask::Setup(kernel::EventLoop& loop) {
  return impl_->Setup(loop);
}

}  // namespace gcw::balancer
