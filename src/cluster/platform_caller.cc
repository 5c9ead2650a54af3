#include "gcw/cluster/platform_caller.h"

#include <utility>

#include "gcw/kernel/mailbox.h"

namespace gcw::cluster {
namespace {

constexpr std::size_t kMailboxCapacity = 100;

relay::Object ObjectOf(const platform::Object& object) {
  return {object.key, object.version, object.created, object.value, false};
}

relay::Object ObjectOf(const platform::WatchEvent& event) {
  relay::Object object = ObjectOf(event.object);
  object.deleted = event.deleted;
  return object;
}

}  // namespace

class PlatformCaller::Impl {
 public:
  Impl(std::string prefix,
       const platform::HttpPlatformOptions& options,
       Done done)
      : prefix_(std::move(prefix)),
        client_(platform::HttpPlatformClient::Make(options)),
        done_(std::move(done)) {}

  Status Setup(kernel::EventLoop& loop) {
    auto mailbox = kernel::Mailbox<relay::PlatformCall>::Make(kMailboxCapacity);
    if (!mailbox.ok()) {
      return mailbox.error();
    }
    mailbox_ = std::move(mailbox).value();
    return mailbox_->Attach(
        loop, [this](const relay::PlatformCall& call) { done_(Make(call)); });
  }

  // Thread-safe.
  void CutCall() { client_->CancelCall(); }

  // Thread-safe.
  void Call(const relay::PlatformCall& call) {
    client_->CancelCall();
    mailbox_->Send(call);
  }

 private:
  PlatformOutcome Make(const relay::PlatformCall& call) {
    return call.type == relay::CallType::kList ? List(call) : Watch(call);
  }

  PlatformOutcome List(const relay::PlatformCall& call) {
    const auto listing = client_->List(prefix_);
    if (!listing.ok()) {
      return PlatformFailed{call.id, listing.error().code};
    }
    PlatformListed listed{call.id, listing.value().revision, {}};
    for (const platform::Object& object : listing.value().objects) {
      listed.objects.push_back(ObjectOf(object));
    }
    return listed;
  }

  PlatformOutcome Watch(const relay::PlatformCall& call) {
    const auto answer = client_->Watch(prefix_, call.after, call.wait);
    if (!answer.ok()) {
      return PlatformFailed{call.id, answer.error().code};
    }
    PlatformWatched watched{call.id, answer.value().revision, {}};
    for (const platform::WatchEvent& event : answer.value().events) {
      watched.events.push_back(ObjectOf(event));
    }
    return watched;
  }

  const std::string prefix_;
  const std::unique_ptr<platform::HttpPlatformClient> client_;
  const Done done_;
  std::shared_ptr<kernel::Mailbox<relay::PlatformCall>> mailbox_;
};

PlatformCaller::PlatformCaller(std::string name,
                               std::string prefix,
                               const platform::HttpPlatformOptions& options,
                               Done done)
    : Task(std::move(name)),
      impl_(
          std::make_unique<Impl>(std::move(prefix), options, std::move(done))) {
}

PlatformCaller::~PlatformCaller() {
  impl_->CutCall();
  Stop();
}

void PlatformCaller::Call(const relay::PlatformCall& call) {
  impl_->Call(call);
}

Status PlatformCaller::Setup(kernel::EventLoop& loop) {
  return impl_->Setup(loop);
}

}  // namespace gcw::cluster
