#include "src/direct_balancer/load_exchange.h"

#include <algorithm>
#include <cerrno>
#include <new>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/clock.h"
#include "gcw/auth/replay_window.h"
#include "gcw/auth/signer.h"
#include "gcw/base/system_error.h"
#include "gcw/kernel/pause_guard.h"
#include "gcw/kernel/udp_socket.h"
#include "gcw/load/aggregator.h"
#include "gcw/platform/backoff.h"

namespace gcw::direct_balancer {
namespace {

// The pauses between the attempts to open the socket.
constexpr platform::BackoffOptions kOpenBackoff{absl::Milliseconds(100),
                                                absl::Milliseconds(500)};

}  // namespace

class LoadExchange::Impl {
 public:
  Impl(const Options& options,
       kernel::EventLoop& loop,
       std::shared_ptr<auth::Signer> signer,
       std::unique_ptr<load::Aggregator> aggregator,
       OnDelayed on_delayed)
      : options_(options),
        loop_(loop),
        signer_(std::move(signer)),
        aggregator_(std::move(aggregator)),
        on_delayed_(std::move(on_delayed)),
        backoff_(kOpenBackoff, signer_->sender_id()) {}

  ~Impl() { Close(); }

  void SetMembers(std::span<const membership::Member> members, absl::Time now) {
    std::vector<load::Peer> peers;
    addresses_.clear();
    names_.clear();
    for (const membership::Member& member : members) {
      if (member.live()) {
        peers.push_back({member.name, member.zone});
        addresses_[member.name] = {member.address.ip, options_.listen.port};
        names_[auth::SenderIdOf(member.name)] = member.name;
      }
    }
    has_peers_ = std::any_of(peers.begin(), peers.end(), [&](const auto& peer) {
      return peer.name != options_.name;
    });
    aggregator_->SetPeers(peers, now);
  }

  void SetOwn(load::Figures figures, absl::Time now) {
    aggregator_->SetOwn(std::move(figures), now);
  }

  void OnTick(absl::Time now) {
    pause_guard_.OnActivity(now);
    if (socket_ == nullptr && now >= next_attempt_) {
      Open(now);
    }
    if (socket_ != nullptr) {
      Send(aggregator_->OnTick(now));
      socket_->Flush();
    }
  }

  std::optional<load::FleetFigures> Total(absl::Time now) const {
    load::FleetFigures total = aggregator_->Total(now);
    if (has_peers_ && total.sum.daemons <= 1) {
      return std::nullopt;
    }
    return total;
  }

  LoadExchangeStats stats() const {
    LoadExchangeStats stats;
    stats.refused = refused_ + aggregator_->ignored_messages();
    if (socket_ != nullptr) {
      stats.datagrams_sent = socket_->datagrams_sent();
      stats.bytes_sent = socket_->bytes_sent();
    }
    return stats;
  }

 private:
  void Open(absl::Time now) {
    ++attempts_;
    Status opened = OkStatus();
    try {
      opened = OpenSocket();
    } catch (const std::bad_alloc&) {
      opened =
          SystemError(ResultCode::kInternal, "cannot allocate memory", ENOMEM);
    }
    if (!opened.ok()) {
      socket_.reset();
      next_attempt_ = now + backoff_.Next();
      on_delayed_(opened.error(), attempts_);
    }
  }

  Status OpenSocket() {
    auto socket = kernel::UdpSocket::Make(options_.listen);
    if (!socket.ok()) {
      return socket.error();
    }
    socket_ = std::move(socket).value();
    return loop_.WatchReadable(socket_->fd(), [this] { Receive(); });
  }

  void Close() {
    if (socket_ != nullptr) {
      loop_.Unwatch(socket_->fd());
    }
  }

  void Receive() {
    const absl::Time now = kernel::MonotonicNow();
    pause_guard_.OnActivity(now);
    socket_->ReceiveBatches(
        [&](const Endpoint&, std::span<const std::uint8_t> datagram) {
          if (!OnDatagram(datagram, now)) {
            ++refused_;
          }
        });
    socket_->Flush();
  }

  // Returns false if the datagram is refused.
  bool OnDatagram(std::span<const std::uint8_t> datagram, absl::Time now) {
    if (pause_guard_.stale(now)) {
      // The ages in the datagram do not include the time that it waited here.
      return false;
    }
    const auto verified = signer_->Verify(auth::Channel::kLoad, datagram);
    if (!verified.ok() ||
        !replay_window_.Accept(verified.value(), absl::Now()).ok()) {
      return false;
    }
    const auto name = names_.find(verified.value().sender);
    const auto message = load::Decode(verified.value().payload);
    if (name == names_.end() || !message.ok()) {
      return false;
    }
    Send(aggregator_->OnMessage(name->second, message.value(), now));
    return true;
  }

  void Send(const std::vector<load::OutgoingMessage>& messages) {
    for (const load::OutgoingMessage& out : messages) {
      const auto address = addresses_.find(out.to);
      if (address != addresses_.end()) {
        socket_->Queue(address->second,
                       signer_->Sign(auth::Channel::kLoad,
                                     load::Encode(out.message), absl::Now()));
      }
    }
  }

  const Options options_;
  kernel::EventLoop& loop_;
  const std::shared_ptr<auth::Signer> signer_;
  const std::unique_ptr<load::Aggregator> aggregator_;
  const OnDelayed on_delayed_;
  platform::Backoff backoff_;
  std::unique_ptr<kernel::UdpSocket> socket_;
  absl::Time next_attempt_ = absl::InfinitePast();
  std::uint64_t attempts_ = 0;
  auth::ReplayWindow replay_window_;
  absl::flat_hash_map<std::string, Endpoint> addresses_;
  absl::flat_hash_map<auth::SenderId, std::string> names_;
  kernel::PauseGuard pause_guard_;
  bool has_peers_ = false;  // Whether the fleet has other live daemons.
  std::uint64_t refused_ = 0;
};

Result<std::unique_ptr<LoadExchange>> LoadExchange::Make(
    const Options& options,
    kernel::EventLoop& loop,
    OnDelayed on_delayed) {
  auto signer =
      auth::Signer::Make(options.name, {1, options.secret}, {}, absl::Now());
  if (!signer.ok()) {
    return signer.error();
  }
  auto aggregator =
      load::Aggregator::Make({.name = options.name, .zone = options.zone});
  if (!aggregator.ok()) {
    return aggregator.error();
  }
  return std::unique_ptr<LoadExchange>(new LoadExchange(std::make_unique<Impl>(
      options, loop, std::move(signer).value(), std::move(aggregator).value(),
      std::move(on_delayed))));
}

LoadExchange::LoadExchange(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl)) {}
LoadExchange::~LoadExchange() = default;

void LoadExchange::SetMembers(std::span<const membership::Member> members,
                              absl::Time now) {
  impl_->SetMembers(members, now);
}
void LoadExchange::SetOwn(load::Figures figures, absl::Time now) {
  impl_->SetOwn(std::move(figures), now);
}
void LoadExchange::OnTick(absl::Time now) {
  impl_->OnTick(now);
}
std::optional<load::FleetFigures> LoadExchange::Total(absl::Time now) const {
  return impl_->Total(now);
}
LoadExchangeStats LoadExchange::stats() const {
  return impl_->stats();
}

}  // namespace gcw::direct_balancer
