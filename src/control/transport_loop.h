#ifndef GCW_SRC_CONTROL_TRANSPORT_LOOP_H_
#define GCW_SRC_CONTROL_TRANSPORT_LOOP_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
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

namespace gcw::control {

// Stats that the task writes and others read.
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

// The transport's task: owns all sockets and serves them on one thread. Only
// Wake and Stop may be called from another thread.
class TransportLoop {
 public:
  // `queues` and `counters` must outlive the loop.
  static Result<std::unique_ptr<TransportLoop>> Make(
      const Options& options,
      std::shared_ptr<auth::Signer> signer,
      ControlTransport::Handler handler,
      SendQueues& queues,
      Counters& counters);

  // Serves until Stop.
  void Run();
  void Stop();
  // Makes the loop look at the queues.
  void Wake();

  Endpoint listen_address() const { return listen_address_; }

 private:
  // A daemon that messages are sent to.
  struct Peer {
    Endpoint address;
    Socket connecting;
    absl::Time connect_deadline;
    std::unique_ptr<Connection> connection;
    // The signed message that is being written, and how much of it was.
    std::vector<std::uint8_t> message;
    std::size_t written = 0;
    int failures = 0;
    absl::Time next_connect = absl::InfinitePast();
  };

  // A connection that a daemon sends on.
  struct Inbound {
    Inbound(std::size_t max_message_bytes, absl::Time now)
        : reader(max_message_bytes), accepted(now) {}

    Endpoint address;
    FrameReader reader;
    std::unique_ptr<Connection> connection;
    absl::Time accepted;
    bool verified = false;
  };

  TransportLoop(const Options& options,
                std::shared_ptr<auth::Signer> signer,
                ControlTransport::Handler handler,
                SendQueues& queues,
                Counters& counters);
  Status Open();

  void ServeEvents(absl::Time now);
  void ServeQueues(absl::Time now);
  void ServeTimers(absl::Time now);

  void AcceptAll(absl::Time now);
  void ServeInbound(Inbound& inbound, absl::Time now);
  bool OnMessage(Inbound& inbound, std::span<const std::uint8_t> message);
  void CloseInbound(int fd);

  void Connect(Peer& peer, absl::Time now);
  void FinishConnect(Peer& peer, absl::Time now);
  void ConnectFailed(Peer& peer, absl::Time now);
  void ServePeer(Peer& peer, std::uint32_t events, absl::Time now);
  void WritePeer(Peer& peer, absl::Time now);
  void ClosePeer(Peer& peer, absl::Time now);
  void Disconnect(Peer& peer);
  void CheckPeer(Peer& peer, absl::Time now);
  std::size_t Fill(Peer& peer, std::span<std::uint8_t> out);
  bool NextMessage(Peer& peer);

  void Watch(int fd, std::uint32_t events);
  void Rewatch(int fd, std::uint32_t events);
  void CountBytes(Connection& connection);
  bool EverythingWritten() const;

  const Options options_;
  const std::shared_ptr<auth::Signer> signer_;
  const ControlTransport::Handler handler_;
  SendQueues& queues_;
  Counters& counters_;

  auth::ReplayWindow window_;
  std::minstd_rand random_;
  Endpoint listen_address_;
  Socket epoll_;
  Socket wake_;
  Socket listener_;
  std::atomic<bool> stop_{false};
  absl::flat_hash_map<Endpoint, std::unique_ptr<Peer>> peers_;
  std::map<int, Peer*> peer_of_fd_;
  std::map<int, std::unique_ptr<Inbound>> inbound_;
  absl::Time next_timers_ = absl::InfinitePast();
};

}  // namespace gcw::control

#endif  // GCW_SRC_CONTROL_TRANSPORT_LOOP_H_
