#include "src/control/transport_loop.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>

#include <algorithm>
#include <array>
#include <bit>
#include <cmath>
#include <functional>
#include <string>
#include <utility>

#include "absl/time/clock.h"
#include "gcw/base/log.h"
#include "gcw/kernel/event_loop.h"

namespace gcw::control {
namespace {

constexpr Logger kLog("control");

constexpr int kMaxEventsPerWait = 64;
constexpr int kTimerIntervalMillis = 100;
// An accepted connection is closed if no verified message arrives within this
// time.
constexpr absl::Duration kFirstMessageTimeout = absl::Seconds(5);
// While there is no connection to a peer, messages queued for it longer than
// this are dropped.
constexpr absl::Duration kUnreachableMessageTtl = absl::Seconds(10);
// The MessageType that precedes the payload in a signed message.
constexpr std::size_t kTypeBytes = 1;
constexpr int kMaxBackoffDoublings = 8;
constexpr int kListenBacklog = 128;
// The bytes of incomplete first messages on all accepted connections are at
// most this many times the largest message, since anybody can send them.
constexpr std::size_t kMaxUnverifiedMessages = 8;
// Of the process's descriptors for accepted connections. The connections to the
// same peers need as many.
constexpr double kMaxDescriptorShare = 0.375;

AcceptStats ToPublicStats(const kernel::AcceptStats& stats) {
  return {stats.closed_for_room, stats.refused, stats.pauses};
}

std::function<void(const Endpoint&, const kernel::AcceptStats&)>
MakeBoundHandler(const Options& options) {
  if (!options.on_bound_reached) {
    return nullptr;
  }
  return [handler = options.on_bound_reached](
             const Endpoint& listen, const kernel::AcceptStats& stats) {
    handler(listen, ToPublicStats(stats));
  };
}

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
  auto acceptor = kernel::TcpAcceptor::Make(
      {.listen = options_.listen,
       .backlog = kListenBacklog,
       .max_connections = options_.max_connections,
       .max_descriptor_share = kMaxDescriptorShare,
       .on_bound_reached = MakeBoundHandler(options_)},
      *this);
  if (!acceptor.ok()) {
    return acceptor.error();
  }
  acceptor_ = std::move(acceptor).value();
  epoll_ = Socket(epoll_create1(EPOLL_CLOEXEC));
  wake_event_ = Socket(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC));
  if (!epoll_.valid() || !wake_event_.valid()) {
    return Error{ResultCode::kInternal, "",
                 "out of file descriptors for epoll or eventfd"};
  }
  WatchFd(acceptor_->fd(), EPOLLIN);
  WatchFd(wake_event_.fd(), EPOLLIN);
  return OkStatus();
}

void TransportLoop::Run() {
  while (!stop_) {
    HandleEvents(absl::Now());
    const absl::Time now = absl::Now();
    HandleQueueChanges(now);
    ResumeAccepting();
    // The second condition keeps timers running after the wall clock was set
    // back.
    if (now >= next_timer_check_ ||
        next_timer_check_ - now > absl::Seconds(1)) {
      next_timer_check_ = now + absl::Milliseconds(kTimerIntervalMillis);
      HandleTimers(now);
    }
    queues_.SetAllWritten(AllMessagesWritten());
  }
}

void TransportLoop::Stop() {
  stop_ = true;
  Wake();
}

void TransportLoop::Wake() {
  // The write only fails if the eventfd counter is at its maximum, and then the
  // loop is woken anyway.
  (void)eventfd_write(wake_event_.fd(), 1);
}

void TransportLoop::HandleEvents(absl::Time now) {
  std::array<epoll_event, kMaxEventsPerWait> events;
  const int count = epoll_wait(epoll_.fd(), events.data(), kMaxEventsPerWait,
                               kTimerIntervalMillis);
  for (int i = 0; i < count; ++i) {
    const int fd = events[i].data.fd;
    if (fd == wake_event_.fd()) {
      eventfd_t value = 0;
      (void)eventfd_read(fd, &value);
    } else if (fd == acceptor_->fd()) {
      Accept();
    } else if (const auto inbound = inbound_.find(fd);
               inbound != inbound_.end()) {
      HandleInbound(*inbound->second, now);
    } else if (const auto peer = peer_of_fd_.find(fd);
               peer != peer_of_fd_.end()) {
      HandlePeerEvents(*peer->second, events[i].events, now);
    }
  }
}

void TransportLoop::HandleQueueChanges(absl::Time now) {
  const SendQueues::PeerChanges changes = queues_.TakePeerChanges();
  for (const Endpoint& address : changes.removed) {
    const auto it = peers_.find(address);
    if (it != peers_.end()) {
      Disconnect(*it->second);
      peers_.erase(it);
    }
  }
  for (const Endpoint& address : changes.with_new_messages) {
    std::unique_ptr<Peer>& peer = peers_[address];
    if (!peer) {
      peer = std::make_unique<Peer>();
      peer->address = address;
    }
    if (peer->connection) {
      peer->connection->stream().Resume();
      WritePeer(*peer, now);
    } else {
      MaintainPeer(*peer, now);
    }
  }
}

void TransportLoop::HandleTimers(absl::Time now) {
  for (auto& [address, peer] : peers_) {
    MaintainPeer(*peer, now);
  }
  std::vector<int> expired;
  for (auto& [fd, inbound] : inbound_) {
    const bool never_verified =
        !inbound->verified && now - inbound->accepted > kFirstMessageTimeout;
    const absl::Duration idle = now - inbound->connection->last_activity();
    if (never_verified || idle > 2 * options_.idle_timeout) {
      expired.push_back(fd);
    }
  }
  for (int fd : expired) {
    CloseInbound(fd);
  }
}

AcceptStats TransportLoop::accept_stats() const {
  return ToPublicStats(acceptor_->stats());
}

void TransportLoop::Accept() {
  const absl::Time now = kernel::MonotonicNow();
  acceptor_->AcceptWaiting(now);
  if (now < acceptor_->paused_until()) {
    accepting_ = false;
    UpdateEvents(acceptor_->fd(), 0);
  }
}

void TransportLoop::ResumeAccepting() {
  if (!accepting_ && kernel::MonotonicNow() >= acceptor_->paused_until()) {
    accepting_ = true;
    UpdateEvents(acceptor_->fd(), EPOLLIN);
  }
}

void TransportLoop::Add(Socket socket, const Endpoint& from) {
  SetTcpOptions(socket.fd());
  const absl::Time now = absl::Now();
  const std::size_t max_bytes =
      options_.max_message_bytes + auth::kSignedOverheadBytes + kTypeBytes;
  auto inbound = std::make_unique<Inbound>(max_bytes, now);
  inbound->address = from;
  inbound->number = next_inbound_number_++;
  Inbound* new_inbound = inbound.get();
  auto stream = HttpStream::MakeServer([this, new_inbound](auto bytes) {
    return new_inbound->reader.Feed(bytes, [this, new_inbound](auto message) {
      return OnMessage(*new_inbound, message);
    });
  });
  if (!stream) {
    kLog.Warning("closed a connection from {}: out of memory", ToString(from));
    return;
  }
  const int fd = socket.fd();
  inbound->connection =
      std::make_unique<Connection>(std::move(socket), std::move(stream), now);
  unverified_[inbound->number] = fd;
  inbound_[fd] = std::move(inbound);
  WatchFd(fd, EPOLLIN);
}

// A peer sends a signed message as soon as it is connected, so the oldest
// connection without one goes first.
bool TransportLoop::CloseLeastUseful() {
  if (unverified_.empty()) {
    return false;
  }
  CloseInbound(unverified_.begin()->second);
  return true;
}

void TransportLoop::HandleInbound(Inbound& inbound, absl::Time now) {
  Connection& connection = *inbound.connection;
  const bool alive = connection.Read(now) && connection.Write(now);
  CountBytes(connection);
  if (!alive) {
    CloseInbound(connection.fd());
    return;
  }
  UpdateEvents(connection.fd(),
               connection.blocked() ? EPOLLIN | EPOLLOUT : EPOLLIN);
  CountUnverifiedBytes(inbound);
  // May close this connection.
  BoundUnverifiedBytes();
}

void TransportLoop::CountUnverifiedBytes(Inbound& inbound) {
  unverified_bytes_ -= inbound.unverified_bytes;
  inbound.unverified_bytes =
      inbound.verified ? 0 : inbound.reader.waiting_bytes();
  unverified_bytes_ += inbound.unverified_bytes;
}

// Closes the oldest connections that hold a part of a first message until the
// parts are within the bound.
void TransportLoop::BoundUnverifiedBytes() {
  const std::size_t max_bytes =
      kMaxUnverifiedMessages * options_.max_message_bytes;
  while (unverified_bytes_ > max_bytes) {
    const auto oldest = std::find_if(
        unverified_.begin(), unverified_.end(), [this](const auto& entry) {
          return inbound_.at(entry.second)->unverified_bytes > 0;
        });
    const int fd = oldest->second;
    const std::uint64_t closed = ++counters_.closed_unverified;
    // Logged only when the count is a power of two, so that a flood of
    // connections does not fill the log.
    if (std::has_single_bit(closed)) {
      kLog.Warning(
          "closed the connection from {}: incomplete first messages take over "
          "{} bytes ({} closed unverified so far)",
          ToString(inbound_.at(fd)->address), max_bytes, closed);
    }
    CloseInbound(fd);
  }
}

bool TransportLoop::OnMessage(Inbound& inbound,
                              std::span<const std::uint8_t> message) {
  auto verified = signer_->Verify(auth::Channel::kControl, message);
  if (!verified.ok() || verified.value().payload.empty()) {
    ++counters_.refused_messages;
    ++counters_.closed_unverified;
    kLog.Warning("closed the connection from {}: a message failed verification",
                 ToString(inbound.address));
    return false;
  }
  const auth::VerifiedMessage& verified_message = verified.value();
  inbound.verified = true;
  unverified_.erase(inbound.number);
  if (Status status = replay_window_.Accept(verified_message, absl::Now());
      !status.ok()) {
    const std::uint64_t refused = ++counters_.refused_messages;
    // Logged only when the count is a power of two, so that a flood of refused
    // messages does not fill the log.
    if (std::has_single_bit(refused)) {
      kLog.Warning("refused a message from {}: {} ({} so far)",
                   ToString(inbound.address), status.error().message, refused);
    }
    return true;
  }
  ++counters_.messages_received;
  ReceivedMessage received;
  received.sender = verified_message.sender;
  received.type = static_cast<MessageType>(verified_message.payload[0]);
  const auto body = verified_message.payload.subspan(kTypeBytes);
  received.payload.assign(body.begin(), body.end());
  handler_(std::move(received));
  return true;
}

void TransportLoop::CloseInbound(int fd) {
  const auto it = inbound_.find(fd);
  unverified_.erase(it->second->number);
  unverified_bytes_ -= it->second->unverified_bytes;
  inbound_.erase(it);
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
  WatchFd(peer.connecting.fd(), EPOLLOUT);
}

void TransportLoop::FinishConnect(Peer& peer, absl::Time now) {
  auto stream = IsConnected(peer.connecting)
                    ? HttpStream::MakeClient([this, &peer](auto out) {
                        return FillOutput(peer, out);
                      })
                    : nullptr;
  if (!stream) {
    ConnectFailed(peer, now);
    return;
  }
  ++counters_.connects;
  peer.connection = std::make_unique<Connection>(std::move(peer.connecting),
                                                 std::move(stream), now);
  peer.connecting = Socket();
  peer.outgoing.clear();
  peer.outgoing_sent = 0;
  peer.ping_sent.reset();
  WritePeer(peer, now);
}

void TransportLoop::ConnectFailed(Peer& peer, absl::Time now) {
  ++counters_.connect_failures;
  ClosePeer(peer, now);
}

// Closes the connection or the attempt, if any, and delays the next attempt by
// the backoff.
void TransportLoop::ClosePeer(Peer& peer, absl::Time now) {
  if (peer.connection && options_.on_connection_lost) {
    options_.on_connection_lost(peer.address,
                                now - peer.connection->last_activity());
  }
  Disconnect(peer);
  const double doublings = std::min(peer.failures, kMaxBackoffDoublings);
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

void TransportLoop::HandlePeerEvents(Peer& peer,
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
  PingIfDue(peer);
  if (!connection.Write(now)) {
    ClosePeer(peer, now);
    return;
  }
  CountBytes(connection);
  if (counters_.bytes_sent != before && !connection.blocked()) {
    peer.failures = 0;
  }
  UpdateEvents(connection.fd(),
               connection.blocked() ? EPOLLIN | EPOLLOUT : EPOLLIN);
}

// Checks the connection along with the messages that are about to be sent.
void TransportLoop::PingIfDue(Peer& peer) {
  HttpStream& stream = peer.connection->stream();
  if (options_.ping_interval == absl::InfiniteDuration() ||
      stream.ping_pending() || queues_.IsEmpty(peer.address) ||
      SincePing(peer) < options_.ping_interval) {
    return;
  }
  if (stream.SubmitPing()) {
    peer.ping_sent = std::chrono::steady_clock::now();
  } else {
    kLog.Warning("out of memory for a PING to {}", ToString(peer.address));
  }
}

// The time since the last PING on the connection. Unlike the other times here
// it does not change with the system time.
absl::Duration TransportLoop::SincePing(const Peer& peer) {
  return peer.ping_sent ? absl::FromChrono(std::chrono::steady_clock::now() -
                                           *peer.ping_sent)
                        : absl::InfiniteDuration();
}

// Closes a stalled or idle connection, ends a connection attempt that timed
// out, drops messages that waited too long, and connects if messages are
// waiting.
void TransportLoop::MaintainPeer(Peer& peer, absl::Time now) {
  const bool has_messages = !queues_.IsEmpty(peer.address);
  if (peer.connection) {
    Connection& connection = *peer.connection;
    if (!has_messages && !connection.blocked()) {
      connection.ResetProgress(now);
    }
    const bool silent = connection.stream().ping_pending() &&
                        SincePing(peer) > options_.ping_timeout;
    const bool stalled =
        now - connection.last_progress() > options_.stall_timeout;
    const bool idle = now - connection.last_activity() > options_.idle_timeout;
    if (silent) {
      kLog.Info("closed the connection to {}: it acknowledged nothing for {}",
                ToString(peer.address),
                absl::FormatDuration(options_.ping_timeout));
      ClosePeer(peer, now);
    } else if (stalled) {
      kLog.Warning("closed the connection to {}: it accepted no data for {}",
                   ToString(peer.address),
                   absl::FormatDuration(now - connection.last_progress()));
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
  queues_.DropQueuedBefore(peer.address, now - kUnreachableMessageTtl);
  if (has_messages && now >= peer.next_connect) {
    Connect(peer, now);
  }
}

// Pops the peer's next message and signs it into `peer.outgoing`. Returns false
// if there is none. Messages are signed just before they are written: the
// signed header carries the time, and the receiver would refuse a message that
// had waited long for a connection as a replay.
bool TransportLoop::PrepareNextMessage(Peer& peer) {
  const std::optional<SendQueues::QueuedMessage> message =
      queues_.Pop(peer.address);
  if (!message) {
    return false;
  }
  std::vector<std::uint8_t> payload;
  payload.reserve(kTypeBytes + message->payload.size());
  payload.push_back(static_cast<std::uint8_t>(message->type));
  payload.insert(payload.end(), message->payload.begin(),
                 message->payload.end());
  const std::vector<std::uint8_t> signed_message =
      signer_->Sign(auth::Channel::kControl, payload, absl::Now());
  peer.outgoing.clear();
  AppendLengthPrefix(static_cast<std::uint32_t>(signed_message.size()),
                     peer.outgoing);
  peer.outgoing.insert(peer.outgoing.end(), signed_message.begin(),
                       signed_message.end());
  peer.outgoing_sent = 0;
  ++counters_.messages_sent;
  return true;
}

// The source of the peer's HTTP/2 stream: copies the bytes of signed messages
// to `out` and returns their number.
std::size_t TransportLoop::FillOutput(Peer& peer, std::span<std::uint8_t> out) {
  std::size_t filled = 0;
  while (filled < out.size()) {
    if (peer.outgoing_sent == peer.outgoing.size() &&
        !PrepareNextMessage(peer)) {
      break;
    }
    const std::size_t count = std::min(
        out.size() - filled, peer.outgoing.size() - peer.outgoing_sent);
    std::copy_n(
        peer.outgoing.begin() + static_cast<std::ptrdiff_t>(peer.outgoing_sent),
        count, out.begin() + static_cast<std::ptrdiff_t>(filled));
    peer.outgoing_sent += count;
    filled += count;
  }
  return filled;
}

void TransportLoop::WatchFd(int fd, std::uint32_t events) {
  epoll_event event{};
  event.events = events;
  event.data.fd = fd;
  epoll_ctl(epoll_.fd(), EPOLL_CTL_ADD, fd, &event);
}

void TransportLoop::UpdateEvents(int fd, std::uint32_t events) {
  epoll_event event{};
  event.events = events;
  event.data.fd = fd;
  epoll_ctl(epoll_.fd(), EPOLL_CTL_MOD, fd, &event);
}

void TransportLoop::CountBytes(Connection& connection) {
  counters_.bytes_sent += connection.TakeBytesSent();
  counters_.bytes_received += connection.TakeBytesReceived();
}

bool TransportLoop::AllMessagesWritten() const {
  return std::all_of(peers_.begin(), peers_.end(), [](const auto& entry) {
    const Peer& peer = *entry.second;
    return peer.outgoing_sent == peer.outgoing.size() &&
           (!peer.connection || !peer.connection->blocked());
  });
}

}  // namespace gcw::control
