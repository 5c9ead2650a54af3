#include "gcw/cluster/platform_caller.h"

#include <atomic>
#include <utility>

#include "gcw/kernel/mailbox.h"

namespace gcw::cluster {
namespace {

constexpr std::size_t kMailboxCapacity = 100;  // Messages.

relay::Object ToRelayObject(const platform::Object& object) {
  return {object.key, object.version, object.created, object.value, false};
}

relay::Object ToRelayObject(const platform::WatchEvent& event) {
  relay::Object object = ToRelayObject(event.object);
  object.deleted = event.deleted;
  return object;
}

}  // namespace

class PlatformCaller::Impl {
 public:
  Impl(std::string prefix,
       const platform::HttpPlatformOptions& options,
       DoneCallback on_done)
      : prefix_(std::move(prefix)),
        client_(platform::HttpPlatformClient::Make(options)),
        on_done_(std::move(on_done)) {}

  Status Setup(kernel::EventLoop& loop) {
    auto mailbox = kernel::Mailbox<relay::PlatformCall>::Make(kMailboxCapacity);
    if (!mailbox.ok()) {
      return mailbox.error();
    }
    mailbox_ = std::move(mailbox).value();
    return mailbox_->Attach(loop, [this](const relay::PlatformCall& call) {
      if (!closing_.load(std::memory_order_acquire)) {
        on_done_(Execute(call));
      }
    });
  }

  // Cancels the call in flight, if any, and drops those that are queued.
  // Thread-safe.
  void Close() {
    closing_.store(true, std::memory_order_release);
    client_->CancelCall();
  }

  // Cancels the call in flight, if any, and queues `call`. Thread-safe.
  void Call(const relay::PlatformCall& call) {
    client_->CancelCall();
    mailbox_->Send(call);
  }

 private:
  PlatformOutcome Execute(const relay::PlatformCall& call) {
    return call.type == relay::CallType::kList ? List(call) : Watch(call);
  }

  PlatformOutcome List(const relay::PlatformCall& call) {
    const auto listing = client_->List(prefix_);
    if (!listing.ok()) {
      return PlatformFailed{call.id, listing.error().code,
                            listing.error().message};
    }
    PlatformListed listed{
        call.id, listing.value().revision, {}, listing.value().skipped};
    for (const platform::Object& object : listing.value().objects) {
      listed.objects.push_back(ToRelayObject(object));
    }
    return listed;
  }

  PlatformOutcome Watch(const relay::PlatformCall& call) {
    const auto answer = client_->Watch(prefix_, call.after, call.wait);
    if (!answer.ok()) {
      return PlatformFailed{call.id, answer.error().code,
                            answer.error().message};
    }
    PlatformWatched watched{
        call.id, answer.value().revision, {}, answer.value().skipped};
    for (const platform::WatchEvent& event : answer.value().events) {
      watched.events.push_back(ToRelayObject(event));
    }
    return watched;
  }

  const std::string prefix_;
  const std::unique_ptr<platform::HttpPlatformClient> client_;
  const DoneCallback on_done_;
  std::atomic<bool> closing_ = false;
  std::shared_ptr<kernel::Mailbox<relay::PlatformCall>> mailbox_;
};

PlatformCaller::PlatformCaller(std::string name,
                               std::string prefix,
                               const platform::HttpPlatformOptions& options,
                               DoneCallback on_done)
    : Task(std::move(name)),
      impl_(std::make_unique<Impl>(std::move(prefix),
                                   options,
                                   std::move(on_done))) {}

PlatformCaller::~PlatformCaller() {
  impl_->Close();
  Stop();
}

void PlatformCaller::Call(const relay::PlatformCall& call) {
  impl_->Call(call);
}

Status PlatformCaller::Setup(kernel::EventLoop& loop) {
  return impl_->Setup(loop);
}

}  // namespace gcw::cluster
