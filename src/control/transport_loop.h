#ifndef GCW_SRC_CONTROL_TRANSPORT_LOOP_H_
#define GCW_SRC_CONTROL_TRANSPORT_LOOP_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "gcw/auth/replay_window.h"
#include "gcw/control/control_transport.h"
#include "src/control/connection.h"
#include "src/control/frame_reader.h"
#include "src/control/send_queues.h"
#include "src/kernel/tcp_acceptor.h"

namespace gcw::control {

// The counters of Stats that TransportLoop writes. Any thread may read them.
struct Counters {
  std::atomic<std::uint64_t> bytes_sent{0};
  std::atomic<std::uint64_t> bytes_received{0};
  std::atomic<std::uint64_t> messages_sent{0};
  std::atomic<std::uint64_t> messages_received{0};
  std::atomic<std::uint64_t> refused_messages{0};
  std::atomic<std::uint64_t> connects{0};
  std::atomic<std::uint64_t> connect_failures{0};
  std::atomic<std::uint64_t> closed_unverified{0};
};

// The event loop of ControlTransport. Owns all sockets and serves them on the
// thread that calls Run(). Only Wake(), Stop(), listen_address() and
// accept_stats() may be called from another thread.
class TransportLoop : private kernel::AcceptedConnections {
 public:
  // Listens on the address of the options. Fails with kBindFailed or kInternal.
  // `queues` and `counters` must outlive the loop.
  static Result<std::unique_ptr<TransportLoop>> Make(
      const Options& options,
      std::shared_ptr<auth::Signer> signer,
      ControlTransport::Handler handler,
      SendQueues& queues,
      Counters& counters);

  // Serves all sockets until Stop() is called.
  void Run();
  // Makes Run() return soon.
  void Stop();
  // Makes the loop process changes of the queues without waiting for a socket.
  void Wake();

  Endpoint listen_address() const { return acceptor_->address(); }
  AcceptStats accept_stats() const;

 private:
  // A daemon to which messages are sent, and the connection to it.
  struct Peer {
    Endpoint address;
    Socket connecting;  // Valid during a connection attempt.
    absl::Time connect_deadline;
    std::unique_ptr<Connection> connection;  // Null if not connected.
    // The signed message being written, and how many of its bytes were passed
    // to the HTTP/2 stream.
    std::vector<std::uint8_t> outgoing;
    std::size_t outgoing_sent = 0;
    // When the last PING was sent on the connection, if any.
    std::optional<std::chrono::steady_clock::time_point> ping_sent;
    int failures = 0;  // Consecutive failed attempts and lost connections.
    absl::Time next_connect = absl::InfinitePast();  // After the backoff.
  };

  // An accepted connection, on which another daemon sends messages.
  struct Inbound {
    Inbound(std::size_t max_message_bytes, absl::Time now)
        : reader(max_message_bytes), accepted(now) {}

    Endpoint address;
    std::uint64_t number = 0;  // Ascending in order of acceptance.
    FrameReader reader;
    std::unique_ptr<Connection> connection;
    absl::Time accepted;
    bool verified = false;  // Whether a verified message has arrived.
    // Bytes of a first message that is not complete.
    std::size_t unverified_bytes = 0;
  };

  TransportLoop(const Options& options,
                std::shared_ptr<auth::Signer> signer,
                ControlTransport::Handler handler,
                SendQueues& queues,
                Counters& counters);
  Status Open();

  void HandleEvents(absl::Time now);
  void HandleQueueChanges(absl::Time now);
  void HandleTimers(absl::Time now);

  // kernel::AcceptedConnections:
  std::size_t size() const override { return inbound_.size(); }
  void Add(Socket socket, const Endpoint& from) override;
  bool CloseLeastUseful() override;

  void Accept();
  void ResumeAccepting();
  void HandleInbound(Inbound& inbound, absl::Time now);
  bool OnMessage(Inbound& inbound, std::span<const std::uint8_t> message);
  void CloseInbound(int fd);
  void CountUnverifiedBytes(Inbound& inbound);
  void BoundUnverifiedBytes();

  void Connect(Peer& peer, absl::Time now);
  void FinishConnect(Peer& peer, absl::Time now);
  void ConnectFailed(Peer& peer, absl::Time now);
  void HandlePeerEvents(Peer& peer, std::uint32_t events, absl::Time now);
  void WritePeer(Peer& peer, absl::Time now);
  void PingIfDue(Peer& peer);
  static absl::Duration SincePing(const Peer& peer);
  void ClosePeer(Peer& peer, absl::Time now);
  void Disconnect(Peer& peer);
  void MaintainPeer(Peer& peer, absl::Time now);
  std::size_t FillOutput(Peer& peer, std::span<std::uint8_t> out);
  bool PrepareNextMessage(Peer& peer);

  void WatchFd(int fd, std::uint32_t events);
  void UpdateEvents(int fd, std::uint32_t events);
  void CountBytes(Connection& connection);
  bool AllMessagesWritten() const;

  const Options options_;
  const std::shared_ptr<auth::Signer> signer_;
  const ControlTransport::Handler handler_;
  SendQueues& queues_;
  Counters& counters_;

  auth::ReplayWindow replay_window_;
  std::minstd_rand random_;
  Socket epoll_;
  Socket wake_event_;
  std::unique_ptr<kernel::TcpAcceptor> acceptor_;
  bool accepting_ = true;  // Whether epoll waits for new connections.
  std::atomic<bool> stop_{false};
  absl::flat_hash_map<Endpoint, std::unique_ptr<Peer>> peers_;
  std::map<int, Peer*> peer_of_fd_;
  std::map<int, std::unique_ptr<Inbound>> inbound_;
  // The accepted connections without a verified message, in order of
  // acceptance.
  std::map<std::uint64_t, int> unverified_;
  std::uint64_t next_inbound_number_ = 0;
  std::size_t unverified_bytes_ = 0;  // The sum over all connections.
  absl::Time next_timer_check_ = absl::InfinitePast();
};

}  // namespace gcw::control

#endif  // GCW_SRC_CONTROL_TRANSPORT_LOOP_H_
