#include "gcw/cluster/member_link.h"

#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/time/clock.h"
#include "gcw/auth/replay_window.h"
#include "gcw/kernel/mailbox.h"
#include "gcw/kernel/udp_socket.h"
#include "gcw/platform/backoff.h"

namespace gcw::cluster {
namespace {

constexpr std::size_t kMailboxCapacity = 20'000;  // Messages.
// The pauses between the attempts to open the ports.
constexpr platform::BackoffOptions kOpenBackoff{absl::Milliseconds(100),
                                                absl::Milliseconds(500)};

}  // namespace

class MemberLink::Impl {
 public:
  Impl(const MemberLinkOptions& options,
       std::shared_ptr<auth::Signer> signer,
       Handlers handlers)
      : options_(options),
        signer_(std::move(signer)),
        handlers_(std::move(handlers)),
        open_backoff_(kOpenBackoff, signer_->sender_id()) {}

  Status Open(std::uint64_t random_seed, kernel::EventLoop& loop) {
    auto membership = membership::Membership::Make(options_.membership,
                                                   absl::Now(), random_seed);
    if (!membership.ok()) {
      return membership.error();
    }
    membership_ = std::move(membership).value();
    membership_->SetSettingsSeeds(options_.seeds);
    loop_ = &loop;
    Status opened = TryOpenPorts(kernel::MonotonicNow());
    const bool later = options_.may_open_later && !opened.ok() &&
                       opened.error().retry != Retry::kNever;
    return later ? OkStatus() : opened;
  }

  void OnTick(absl::Time now) {
    if (!is_open() && now >= next_open_attempt_) {
      // The handler learns of the error, and OnTick() tries again.
      (void)TryOpenPorts(now);
    }
    if (is_open()) {
      ApplyActions(membership_->OnTick(now));
      socket_->Flush();
    }
  }

  membership::Membership& membership() { return *membership_; }

  void BeginLeave(absl::Time now) {
    membership_->BeginLeave();
    OnTick(now);
  }

  void Leave(absl::Time now) {
    const membership::Actions actions = membership_->Leave(now);
    if (is_open()) {
      ApplyActions(actions);
      socket_->Flush();
    }
  }

  Status Send(std::string_view name,
              control::MessageType type,
              std::span<const std::uint8_t> bytes,
              control::OverflowPolicy overflow) {
    const auto member = membership_->Find(name);
    if (!member.has_value() || !is_open()) {
      return Error{ResultCode::kUnknownMember, "", std::string(name)};
    }
    return transport_->Send(ControlAddress(*member), type, bytes, overflow);
  }

  MemberLinkStats stats() const {
    if (!is_open()) {
      return {};
    }
    const control::Stats control = transport_->stats();
    return {control.bytes_sent + socket_->bytes_sent(),
            control.refused_messages + refused_messages_, control.accepts};
  }

 private:
  // Whether both ports are open.
  bool is_open() const { return transport_ != nullptr; }

  Status TryOpenPorts(absl::Time now) {
    ++open_attempts_;
    Status opened = OpenPorts();
    if (!opened.ok()) {
      ClosePorts();
      next_open_attempt_ = now + open_backoff_.Next();
      if (handlers_.on_open_delayed != nullptr) {
        handlers_.on_open_delayed(opened.error(), open_attempts_);
      }
    }
    return opened;
  }

  // Opens both ports; a member with only one of them would not be reachable.
  Status OpenPorts() {
    for (const auto step :
         {&Impl::OpenSocket, &Impl::OpenMailbox, &Impl::OpenTransport}) {
      Status done = (this->*step)();
      if (!done.ok()) {
        return done;
      }
    }
    return OkStatus();
  }

  void ClosePorts() {
    if (socket_ != nullptr) {
      loop_->Unwatch(socket_->fd());
      socket_.reset();
    }
    if (mailbox_ != nullptr) {
      mailbox_->Detach(*loop_);
      mailbox_.reset();
    }
  }

  Status OpenSocket() {
    auto socket = kernel::UdpSocket::Make(
        {options_.bind_ip, options_.membership.advertise.port});
    if (!socket.ok()) {
      return socket.error();
    }
    socket_ = std::move(socket).value();
    return loop_->WatchReadable(socket_->fd(), [this] { ReceiveDatagrams(); });
  }

  Status OpenMailbox() {
    auto mailbox =
        kernel::Mailbox<control::ReceivedMessage>::Make(kMailboxCapacity);
    if (!mailbox.ok()) {
      return mailbox.error();
    }
    mailbox_ = std::move(mailbox).value();
    return mailbox_->Attach(*loop_, [this](control::ReceivedMessage& message) {
      OnControlMessage(message);
    });
  }

  Status OpenTransport() {
    control::Options options;
    options.listen = {options_.bind_ip, options_.control_port};
    options.on_connection_lost = handlers_.on_connection_lost;
    options.on_bound_reached = handlers_.on_bound_reached;
    auto transport = control::ControlTransport::Make(
        options, signer_,
        [mailbox = mailbox_](control::ReceivedMessage message) {
          mailbox->Send(std::move(message));
        });
    if (!transport.ok()) {
      Error error = transport.error();
      if (error.code == ResultCode::kInternal) {
        error.retry = Retry::kAlways;  // Out of descriptors or threads.
      }
      return error;
    }
    transport_ = std::move(transport).value();
    return OkStatus();
  }

  void ReceiveDatagrams() {
    const auto receive = [this](const Endpoint& from,
                                std::span<const std::uint8_t> datagram) {
      OnDatagram(from, datagram);
    };
    socket_->ReceiveBatches(receive);
    socket_->Flush();
  }

  void OnDatagram(const Endpoint& from, std::span<const std::uint8_t> bytes) {
    const auto verified = signer_->Verify(auth::Channel::kMembership, bytes);
    if (!verified.ok()) {
      RefuseDatagram(from, verified.error());
      return;
    }
    const Status fresh = replay_window_.Accept(verified.value(), absl::Now());
    if (!fresh.ok()) {
      RefuseDatagram(from, fresh.error());
      return;
    }
    const auto message = membership::Decode(verified.value().payload);
    if (!message.ok()) {
      RefuseDatagram(from, message.error());
      return;
    }
    const std::string& name = message.value().sender.name;
    if (auth::SenderIdOf(name) != verified.value().sender) {
      RefuseDatagram(from,
                     {ResultCode::kBadSignature, "",
                      "the sender id does not belong to the member name"});
      return;
    }
    ApplyActions(
        membership_->OnMessage(from, message.value(), kernel::MonotonicNow()));
  }

  void RefuseDatagram(const Endpoint& from, const Error& error) {
    handlers_.on_message_refused(from, error, ++refused_messages_);
  }

  void ApplyActions(const membership::Actions& actions) {
    for (const membership::OutgoingMessage& out : actions.messages) {
      const auto bytes =
          signer_->Sign(auth::Channel::kMembership,
                        membership::Encode(out.message), absl::Now());
      socket_->Queue(out.to, bytes);
    }
    for (const membership::MemberEvent& event : actions.events) {
      if (event.type == membership::EventType::kDied ||
          event.type == membership::EventType::kLeft) {
        transport_->RemovePeer(ControlAddress(event.member));
      }
    }
    if (actions.events.empty()) {
      return;
    }
    name_of_sender_.clear();
    for (const membership::Member& member : membership_->members()) {
      name_of_sender_[auth::SenderIdOf(member.name)] = member.name;
    }
    handlers_.on_members_changed(actions.events);
  }

  void OnControlMessage(const control::ReceivedMessage& message) {
    const auto name = name_of_sender_.find(message.sender);
    if (name != name_of_sender_.end()) {
      handlers_.on_message(name->second, message);
    }
  }

  Endpoint ControlAddress(const membership::Member& member) const {
    return {member.address.ip, options_.control_port};
  }

  const MemberLinkOptions options_;
  const std::shared_ptr<auth::Signer> signer_;
  const Handlers handlers_;
  kernel::EventLoop* loop_ = nullptr;
  platform::Backoff open_backoff_;
  std::uint64_t open_attempts_ = 0;
  absl::Time next_open_attempt_ = absl::InfinitePast();
  std::unique_ptr<membership::Membership> membership_;
  std::unique_ptr<kernel::UdpSocket> socket_;
  std::shared_ptr<kernel::Mailbox<control::ReceivedMessage>> mailbox_;
  auth::ReplayWindow replay_window_;
  absl::flat_hash_map<auth::SenderId, std::string> name_of_sender_;
  std::uint64_t refused_messages_ = 0;
  // Declared last so that it is destroyed first: its thread uses `mailbox_`.
  std::unique_ptr<control::ControlTransport> transport_;
};

Result<std::unique_ptr<MemberLink>> MemberLink::Make(
    const MemberLinkOptions& options,
    std::shared_ptr<auth::Signer> signer,
    std::uint64_t random_seed,
    kernel::EventLoop& loop,
    Handlers handlers) {
  auto impl =
      std::make_unique<Impl>(options, std::move(signer), std::move(handlers));
  const Status status = impl->Open(random_seed, loop);
  if (!status.ok()) {
    return status.error();
  }
  return std::unique_ptr<MemberLink>(new MemberLink(std::move(impl)));
}

MemberLink::MemberLink(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
MemberLink::~MemberLink() = default;

void MemberLink::OnTick(absl::Time now) {
  impl_->OnTick(now);
}
std::vector<membership::Member> MemberLink::members() const {
  return impl_->membership().members();
}
membership::Member MemberLink::self() const {
  return impl_->membership().self();
}
std::size_t MemberLink::live_count() const {
  return impl_->membership().live_count();
}
void MemberLink::SetSeeds(std::span<const membership::Seed> seeds) {
  impl_->membership().SetPlatformSeeds(seeds);
}
void MemberLink::SetRevision(std::uint64_t revision) {
  impl_->membership().SetRevision(revision);
}
void MemberLink::BeginLeave(absl::Time now) {
  impl_->BeginLeave(now);
}
void MemberLink::Leave(absl::Time now) {
  impl_->Leave(now);
}
Status MemberLink::Send(std::string_view name,
                        control::MessageType type,
                        std::span<const std::uint8_t> bytes,
                        control::OverflowPolicy overflow) {
  return impl_->Send(name, type, bytes, overflow);
}
MemberLinkStats MemberLink::stats() const {
  return impl_->stats();
}

}  // namespace gcw::cluster
