#include "src/control/transport_loop.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <bit>
#include <cmath>
#include <string>
#include <utility>

#include "absl/time/clock.h"
#include "gcw/base/log.h"

namespace gcw::control {
namespace {

constexpr Logger kLog("control");

constexpr int kEventsAtOnce = 64;
constexpr int kTimerMillis = 100;
// One who connects must send a message that verifies within this time.
constexpr absl::Duration kVerifyTimeout = absl::Seconds(5);
// While a peer cannot be reached, what waits for it is dropped at this age.
constexpr absl::Duration kUnreachableTtl = absl::Seconds(10);
constexpr std::size_t kTypeBytes = 1;
constexpr int kMaxDoublings = 8;

}  // namespace

TransportLoop::TransportLoop(const Options& options,
                             std::shared_ptr<auth::Signer> signer,
                             ControlTransport::Handler handler,
                             SendQueues& queues,
                             Counters& counters)
    : options_(options),
      signer_(std::move(signer)),
      handler_(std::move(handler)),
      queues_(queues),
      counters_(counters),
      random_(static_cast<std::uint32_t>(signer_->sender_id())) {}

Result<std::unique_ptr<TransportLoop>> TransportLoop::Make(
    const Options& options,
    std::shared_ptr<auth::Signer> signer,
    ControlTransport::Handler handler,
    SendQueues& queues,
    Counters& counters) {
  std::unique_ptr<TransportLoop> loop(new TransportLoop(
      options, std::move(signer), std::move(handler), queues, counters));
  if (Status status = loop->Open(); !status.ok()) {
    return status.error();
  }
  return loop;
}

Status TransportLoop::Open() {
  Result<Socket> listener = Listen(options_.listen);
  if (!listener.ok()) {
    return listener.error();
  }
  listener_ = std::move(listener).value();
  sockaddr_in raw{};
  socklen_t length = sizeof(raw);
  getsockname(listener_.fd(), reinterpret_cast<sockaddr*>(&raw), &length);
  listen_address_ = Endpoint::FromSockaddr(raw);
  epoll_ = Socket(epoll_create1(EPOLL_CLOEXEC));
  wake_ = Socket(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC));
  if (!epoll_.valid() || !wake_.valid()) {
    return Error{ResultCode::kInternal, "", "no descriptors for the loop"};
  }
  Watch(listener_.fd(), EPOLLIN);
  Watch(wake_.fd(), EPOLLIN);
  return OkStatus();
}

void TransportLoop::Run() {
  while (!stop_) {
    ServeEvents(absl::Now());
    const absl::Time now = absl::Now();
    ServeQueues(now);
    if (now >= next_timers_ || next_timers_ - now > absl::Seconds(1)) {
      next_timers_ = now + absl::Milliseconds(kTimerMillis);
      ServeTimers(now);
    }
    queues_.SetWritten(EverythingWritten());
  }
}

void TransportLoop::Stop() {
  stop_ = true;
  Wake();
}

void TransportLoop::Wake() {
  // A full counter wakes the loop just as well.
  (void)eventfd_write(wake_.fd(), 1);
}

void TransportLoop::ServeEvents(absl::Time now) {
  std::array<epoll_event, kEventsAtOnce> events;
  const int count =
      epoll_wait(epoll_.fd(), events.data(), kEventsAtOnce, kTimerMillis);
  for (int i = 0; i < count; ++i) {
    const int fd = events[i].data.fd;
    if (fd == wake_.fd()) {
      eventfd_t value = 0;
      (void)eventfd_read(fd, &value);
    } else if (fd == listener_.fd()) {
      AcceptAll(now);
    } else if (const auto in = inbound_.find(fd); in != inbound_.end()) {
      ServeInbound(*in->second, now);
    } else if (const auto out = peer_of_fd_.find(fd);
               out != peer_of_fd_.end()) {
      ServePeer(*out->second, events[i].events, now);
    }
  }
}

void TransportLoop::ServeQueues(absl::Time now) {
  const SendQueues::Work work = queues_.TakeWork();
  for (const Endpoint& address : work.forgotten) {
    const auto it = peers_.find(address);
    if (it != peers_.end()) {
      Disconnect(*it->second);
      peers_.erase(it);
    }
  }
  for (const Endpoint& address : work.touched) {
    std::unique_ptr<Peer>& peer = peers_[address];
    if (!peer) {
      peer = std::make_unique<Peer>();
      peer->address = address;
    }
    if (peer->connection) {
      peer->connection->stream().Resume();
      WritePeer(*peer, now);
    } else {
      CheckPeer(*peer, now);
    }
  }
}

void TransportLoop::ServeTimers(absl::Time now) {
  for (auto& [address, peer] : peers_) {
    CheckPeer(*peer, now);
  }
  std::vector<int> over;
  for (auto& [fd, inbound] : inbound_) {
    const bool unknown =
        !inbound->verified && now - inbound->accepted > kVerifyTimeout;
    const absl::Duration idle = now - inbound->connection->last_activity();
    if (unknown || idle > 2 * options_.idle_timeout) {
      over.push_back(fd);
    }
  }
  for (int fd : over) {
    CloseInbound(fd);
  }
}

void TransportLoop::AcceptAll(absl::Time now) {
  while (true) {
    Endpoint address;
    Socket socket = Accept(listener_, address);
    if (!socket.valid()) {
      return;
    }
    if (inbound_.size() >= options_.max_connections) {
      kLog.Warning("refused a connection of {}: too many", ToString(address));
      continue;
    }
    const std::size_t max_bytes =
        options_.max_message_bytes + auth::kSignedOverheadBytes + kTypeBytes;
    auto inbound = std::make_unique<Inbound>(max_bytes, now);
    inbound->address = address;
    Inbound* raw = inbound.get();
    auto stream = HttpStream::MakeServer([this, raw](auto bytes) {
      return raw->reader.Feed(bytes, [this, raw](auto message) {
        return OnMessage(*raw, message);
      });
    });
    if (!stream) {
      continue;
    }
    const int fd = socket.fd();
    inbound->connection =
        std::make_unique<Connection>(std::move(socket), std::move(stream), now);
    inbound_[fd] = std::move(inbound);
    Watch(fd, EPOLLIN);
  }
}

void TransportLoop::ServeInbound(Inbound& inbound, absl::Time now) {
  Connection& connection = *inbound.connection;
  const bool alive = connection.Read(now) && connection.Write(now);
  CountBytes(connection);
  if (!alive) {
    CloseInbound(connection.fd());
    return;
  }
  Rewatch(connection.fd(), connection.blocked() ? EPOLLIN | EPOLLOUT : EPOLLIN);
}

bool TransportLoop::OnMessage(Inbound& inbound,
                              std::span<const std::uint8_t> message) {
  auto verified = signer_->Verify(auth::Channel::kControl, message);
  if (!verified.ok() || verified.value().payload.empty()) {
    ++counters_.refused_messages;
    ++counters_.closed_unverified;
    kLog.Warning("cut off {}: its message does not verify",
                 ToString(inbound.address));
    return false;
  }
  const auth::VerifiedMessage& good = verified.value();
  inbound.verified = true;
  if (Status status = window_.Accept(good, absl::Now()); !status.ok()) {
    const std::uint64_t refused = ++counters_.refused_messages;
    // One line for each power of two, so that a flood does not fill the log.
    if (std::has_single_bit(refused)) {
      kLog.Warning("refused a message of {}: {} ({} so far)",
                   ToString(inbound.address), status.error().message, refused);
    }
    return true;
  }
  ++counters_.messages_received;
  ReceivedMessage received;
  received.sender = good.sender;
  received.type = static_cast<MessageType>(good.payload[0]);
  const auto body = good.payload.subspan(kTypeBytes);
  received.payload.assign(body.begin(), body.end());
  handler_(std::move(received));
  return true;
}

void TransportLoop::CloseInbound(int fd) {
  inbound_.erase(fd);
}

void TransportLoop::Connect(Peer& peer, absl::Time now) {
  Result<Socket> socket = StartConnect(options_.listen.ip, peer.address);
  if (!socket.ok()) {
    ConnectFailed(peer, now);
    return;
  }
  peer.connecting = std::move(socket).value();
  peer.connect_deadline = now + options_.connect_timeout;
  peer_of_fd_[peer.connecting.fd()] = &peer;
  Watch(peer.connecting.fd(), EPOLLOUT);
}

void TransportLoop::FinishConnect(Peer& peer, absl::Time now) {
  auto stream = IsConnected(peer.connecting)
                    ? HttpStream::MakeClient(
                          [this, &peer](auto out) { return Fill(peer, out); })
                    : nullptr;
  if (!stream) {
    ConnectFailed(peer, now);
    return;
  }
  ++counters_.connects;
  peer.connection = std::make_unique<Connection>(std::move(peer.connecting),
                                                 std::move(stream), now);
  peer.connecting = Socket();
  peer.message.clear();
  peer.written = 0;
  WritePeer(peer, now);
}

void TransportLoop::ConnectFailed(Peer& peer, absl::Time now) {
  ++counters_.connect_failures;
  ClosePeer(peer, now);
}

// Closes the connection, if any, and waits before the next one.
void TransportLoop::ClosePeer(Peer& peer, absl::Time now) {
  Disconnect(peer);
  const double doublings = std::min(peer.failures, kMaxDoublings);
  const absl::Duration backoff =
      std::min(options_.reconnect_backoff_max,
               options_.reconnect_backoff_min * std::exp2(doublings));
  std::uniform_real_distribution<double> jitter(0.5, 1.0);
  peer.next_connect = now + backoff * jitter(random_);
  ++peer.failures;
}

void TransportLoop::Disconnect(Peer& peer) {
  if (peer.connecting.valid()) {
    peer_of_fd_.erase(peer.connecting.fd());
    peer.connecting = Socket();
  }
  if (peer.connection) {
    CountBytes(*peer.connection);
    peer_of_fd_.erase(peer.connection->fd());
    peer.connection.reset();
  }
}

void TransportLoop::ServePeer(Peer& peer,
                              std::uint32_t events,
                              absl::Time now) {
  if (peer.connecting.valid()) {
    FinishConnect(peer, now);
    return;
  }
  if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0 &&
      !peer.connection->Read(now)) {
    ClosePeer(peer, now);
    return;
  }
  WritePeer(peer, now);
}

void TransportLoop::WritePeer(Peer& peer, absl::Time now) {
  Connection& connection = *peer.connection;
  const std::uint64_t before = counters_.bytes_sent;
  if (!connection.Write(now)) {
    ClosePeer(peer, now);
    return;
  }
  CountBytes(connection);
  if (counters_.bytes_sent != before && !connection.blocked()) {
    peer.failures = 0;
  }
  Rewatch(connection.fd(), connection.blocked() ? EPOLLIN | EPOLLOUT : EPOLLIN);
}

void TransportLoop::CheckPeer(Peer& peer, absl::Time now) {
  const bool waiting = !queues_.Empty(peer.address);
  if (peer.connection) {
    Connection& connection = *peer.connection;
    if (!waiting && !connection.blocked()) {
      connection.NoteNothingLeft(now);
    }
    const bool stalled =
        now - connection.last_progress() > options_.stall_timeout;
    const bool idle = now - connection.last_activity() > options_.idle_timeout;
    if (stalled) {
      kLog.Warning("closed the connection to {}: it takes nothing",
                   ToString(peer.address));
      ClosePeer(peer, now);
    } else if (idle) {
      Disconnect(peer);
    }
    return;
  }
  if (peer.connecting.valid()) {
    if (now >= peer.connect_deadline) {
      ConnectFailed(peer, now);
    }
    return;
  }
  queues_.DropBefore(peer.address, now - kUnreachableTtl);
  if (waiting && now >= peer.next_connect) {
    Connect(peer, now);
  }
}

// Messages are signed when they are written, so that one that waited for a
// connection does not look like an old one that is replayed.
bool TransportLoop::NextMessage(Peer& peer) {
  const std::optional<SendQueues::Item> item = queues_.Pop(peer.address);
  if (!item) {
    return false;
  }
  std::vector<std::uint8_t> payload;
  payload.reserve(kTypeBytes + item->payload.size());
  payload.push_back(static_cast<std::uint8_t>(item->type));
  payload.insert(payload.end(), item->payload.begin(), item->payload.end());
  const std::vector<std::uint8_t> sealed =
      signer_->Sign(auth::Channel::kControl, payload, absl::Now());
  peer.message.clear();
  AppendLength(static_cast<std::uint32_t>(sealed.size()), peer.message);
  peer.message.insert(peer.message.end(), sealed.begin(), sealed.end());
  peer.written = 0;
  ++counters_.messages_sent;
  return true;
}

std::size_t TransportLoop::Fill(Peer& peer, std::span<std::uint8_t> out) {
  std::size_t filled = 0;
  while (filled < out.size()) {
    if (peer.written == peer.message.size() && !NextMessage(peer)) {
      break;
    }
    const std::size_t count =
        std::min(out.size() - filled, peer.message.size() - peer.written);
    std::copy_n(
        peer.message.begin() + static_cast<std::ptrdiff_t>(peer.written), count,
        out.begin() + static_cast<std::ptrdiff_t>(filled));
    peer.written += count;
    filled += count;
  }
  return filled;
}

void TransportLoop::Watch(int fd, std::uint32_t events) {
  epoll_event event{};
  event.events = events;
  event.data.fd = fd;
  epoll_ctl(epoll_.fd(), EPOLL_CTL_ADD, fd, &event);
}

void TransportLoop::Rewatch(int fd, std::uint32_t events) {
  epoll_event event{};
  event.events = events;
  event.data.fd = fd;
  epoll_ctl(epoll_.fd(), EPOLL_CTL_MOD, fd, &event);
}

void TransportLoop::CountBytes(Connection& connection) {
  counters_.bytes_sent += connection.TakeBytesSent();
  counters_.bytes_received += connection.TakeBytesReceived();
}

bool TransportLoop::EverythingWritten() const {
  return std::all_of(peers_.begin(), peers_.end(), [](const auto& entry) {
    const Peer& peer = *entry.second;
    return peer.written == peer.message.size() &&
           (!peer.connection || !peer.connection->blocked());
  });
}

}  // namespace gcw::control
