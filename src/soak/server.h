#ifndef GCW_SOAK_SERVER_H_
#define GCW_SOAK_SERVER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/time/time.h"
#include "platform/stand_in_packet.h"
#include "src/lab/scheduler.h"

namespace gcw::soak {

// A backend server's TCP listener for the daemons' probes. Not thread-safe.
class ProbeTarget {
 public:
  enum class Mode : std::uint8_t {
    kAccept,
    kRefuse,  // Connections are refused, as without a listener.
    kSilent,  // Connection attempts hang, because the backlog is full.
  };

  // Refuses connections to `address` until Set() is called.
  explicit ProbeTarget(const Endpoint& address) : address_(address) {}
  ~ProbeTarget() { Close(); }
  ProbeTarget(const ProbeTarget&) = delete;
  ProbeTarget& operator=(const ProbeTarget&) = delete;

  // Changes the mode at once. A failure to bind leaves the target refusing.
  void Set(Mode mode);
  // Accepts and closes all pending connections. Call it periodically.
  void AcceptPending();

 private:
  void Open(int backlog);
  void Close();
  // Fills the backlog of the listener with own connections, so that further
  // connection attempts hang.
  void FillBacklog();

  const Endpoint address_;
  Mode mode_ = Mode::kRefuse;
  int listener_ = -1;
  std::vector<int> backlog_fillers_;
};

// Simulated backend server: accepts flows, executes each request once, at most
// kSlots at the same time, and answers it in two packets. Rejects requests when
// its queue is full. Not thread-safe.
class Server {
 public:
  static constexpr std::uint32_t kSlots = 4;
  // Ends the packet that says that a request was rejected and has not run.
  static constexpr char kRejectedPart = '0';

  using Send = std::function<void(const adapter::EndHostPacket&)>;
  using ExecutedCallback = std::function<void(const std::string& request)>;

  // `send` takes the server's packets; `on_executed` is called when a request
  // arrives for the first time. `scheduler` must outlive the server.
  Server(lab::Scheduler& scheduler, Send send, ExecutedCallback on_executed)
      : scheduler_(scheduler),
        send_(std::move(send)),
        on_executed_(std::move(on_executed)) {}

  // Starts a new incarnation, which has no flows and no requests.
  void Restart();
  // While closing, the server ends each flow with a FIN in its next answer.
  void set_closing(bool closing) { closing_ = closing; }
  // While slow, the server takes several times as long for each request.
  void set_slow(bool slow) { slow_ = slow; }
  // Requests that are being executed.
  std::size_t running() const { return running_; }
  // Whether the server got the SYN of `flow` in this incarnation and the flow
  // has not ended.
  bool HasFlow(const direct::FlowKey& flow) const {
    return flows_.contains(flow);
  }
  // Takes a packet that reached the server and sends the reply. Packets of an
  // unknown flow are answered with a reset.
  void OnPacket(const adapter::EndHostPacket& end);

 private:
  enum class RequestState : std::uint8_t { kAccepted, kAnswered, kRejected };

  // Queues or rejects a new request; repeats the answer to a retransmitted one.
  void HandleRequest(const adapter::EndHostPacket& request);
  // Executes queued requests while slots are free.
  void RunQueued();
  // Sends what the caller of `request` is to know in `state`.
  void SendAnswer(const adapter::EndHostPacket& request, RequestState state);
  void SendReply(const adapter::EndHostPacket& to,
                 adapter::EndHostPacket reply);

  lab::Scheduler& scheduler_;
  const Send send_;
  const ExecutedCallback on_executed_;
  bool closing_ = false;
  bool slow_ = false;
  std::uint64_t incarnation_ = 0;
  absl::flat_hash_set<direct::FlowKey> flows_;
  absl::flat_hash_map<std::string, RequestState> state_by_request_;
  std::size_t running_ = 0;
  std::deque<adapter::EndHostPacket> queue_;
};

}  // namespace gcw::soak

#endif  // GCW_SOAK_SERVER_H_
