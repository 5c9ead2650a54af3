#include "gcw/control/control_transport.h"

#include <thread>
#include <utility>

#include "absl/time/clock.h"
#include "gcw/base/thread.h"
#include "src/control/send_queues.h"
#include "src/control/transport_loop.h"

namespace gcw::control {

class ControlTransport::Impl {
 public:
  explicit Impl(const Options& options)
      : options_(options), queues_(options.max_queue_bytes) {}

  ~Impl() {
    if (thread_.joinable()) {
      loop_->Stop();
      thread_.join();
    }
  }

  Status Start(std::shared_ptr<auth::Signer> signer, Handler handler) {
    auto loop = TransportLoop::Make(options_, std::move(signer),
                                    std::move(handler), queues_, counters_);
    if (!loop.ok()) {
      return loop.error();
    }
    loop_ = std::move(loop).value();
    Result<std::thread> thread = StartThread([this] { loop_->Run(); });
    if (!thread.ok()) {
      return thread.error();
    }
    thread_ = std::move(thread).value();
    return OkStatus();
  }

  const Options& options() const { return options_; }
  SendQueues& queues() { return queues_; }
  const Counters& counters() const { return counters_; }
  TransportLoop& loop() { return *loop_; }

 private:
  const Options options_;
  SendQueues queues_;
  Counters counters_;
  std::unique_ptr<TransportLoop> loop_;
  std::thread thread_;
};

Result<std::unique_ptr<ControlTransport>> ControlTransport::Make(
    const Options& options,
    std::shared_ptr<auth::Signer> signer,
    Handler handler) {
  auto impl = std::make_unique<Impl>(options);
  if (Status status = impl->Start(std::move(signer), std::move(handler));
      !status.ok()) {
    return status.error();
  }
  return std::unique_ptr<ControlTransport>(
      new ControlTransport(std::move(impl)));
}

ControlTransport::ControlTransport(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl)) {}
ControlTransport::~ControlTransport() = default;

Status ControlTransport::Send(const Endpoint& peer,
                              MessageType type,
                              std::span<const std::uint8_t> payload,
                              OverflowPolicy overflow) {
  if (payload.size() > impl_->options().max_message_bytes ||
      payload.size() > impl_->options().max_queue_bytes) {
    return Error{ResultCode::kTooLarge, "payload",
                 "the payload of " + std::to_string(payload.size()) +
                     " bytes is too large"};
  }
  SendQueues::QueuedMessage message;
  message.type = type;
  message.overflow = overflow;
  message.queued_at = absl::Now();
  message.payload.assign(payload.begin(), payload.end());
  const bool queued = impl_->queues().Push(peer, std::move(message));
  impl_->loop().Wake();
  if (!queued && overflow == OverflowPolicy::kReject) {
    return Error{ResultCode::kTooLarge, "",
                 "the queue to " + ToString(peer) + " is full"};
  }
  return OkStatus();
}

void ControlTransport::RemovePeer(const Endpoint& peer) {
  impl_->queues().RemovePeer(peer);
  impl_->loop().Wake();
}

bool ControlTransport::Flush(absl::Duration timeout) {
  return impl_->queues().WaitUntilWritten(timeout);
}

Stats ControlTransport::stats() const {
  const Counters& counters = impl_->counters();
  Stats stats;
  stats.bytes_sent = counters.bytes_sent;
  stats.bytes_received = counters.bytes_received;
  stats.messages_sent = counters.messages_sent;
  stats.messages_received = counters.messages_received;
  stats.dropped_messages = impl_->queues().dropped();
  stats.refused_messages = counters.refused_messages;
  stats.connects = counters.connects;
  stats.connect_failures = counters.connect_failures;
  stats.closed_unverified = counters.closed_unverified;
  stats.accepts = impl_->loop().accept_stats();
  return stats;
}

Endpoint ControlTransport::listen_address() const {
  return impl_->loop().listen_address();
}

}  // namespace gcw::control
