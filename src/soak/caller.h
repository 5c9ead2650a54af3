#ifndef GCW_SOAK_CALLER_H_
#define GCW_SOAK_CALLER_H_

#include <cstdint>
#include <functional>
#include <set>
#include <string>

#include "platform/stand_in_packet.h"
#include "src/lab/random.h"
#include "src/lab/scheduler.h"

namespace gcw::soak {

// Receives the outcome of a caller's requests and flows.
class CallerObserver {
 public:
  virtual ~CallerObserver() = default;

  // A request started. Its retries are not reported.
  virtual void OnRequest(absl::Time started) = 0;
  // The request that started at `started` ended, answered or not. `flow` is its
  // latest flow.
  virtual void OnFinished(const direct::FlowKey& flow,
                          absl::Time started,
                          bool answered) = 0;
  // `flow` was reset before it was open.
  virtual void OnRefused(const direct::FlowKey& flow) = 0;
  // The caller got an answer to a request sent from another IP address.
  virtual void OnWrongAnswer() = 0;
  // A daemon, not a server, sent a reset of `flow` to its caller.
  virtual void OnDaemonReset(const direct::FlowKey& flow) = 0;
};

// How a caller uses its flows.
enum class FlowUse : std::uint8_t {
  kBusy,        // One request after the other on one long flow.
  kIdle,        // The same, with pauses of seconds in between.
  kOneRequest,  // A new flow for each request.
};

// Simulated caller: sends one request after the other, and retransmits and
// retries like the platform's callers. Not thread-safe; all actions run on the
// scheduler.
class Caller {
 public:
  using Send = std::function<void(const adapter::EndHostPacket&)>;

  // Each new flow uses the next of `ports` ports, beginning with that of
  // `address`. `scheduler` and `observer` must outlive the caller.
  Caller(lab::Scheduler& scheduler,
         std::uint64_t seed,
         const Endpoint& address,
         std::uint16_t ports,
         const Endpoint& service,
         FlowUse flow_use,
         Send send,
         CallerObserver& observer);

  // Starts the next request after a random pause, unless one is in progress.
  void Start();
  // Starts no further requests.
  void Stop() { stopped_ = true; }
  // Takes a packet that reached the caller; ignores packets of other flows.
  void OnPacket(const adapter::EndHostPacket& end);
  // The present or latest flow.
  const direct::FlowKey& flow() const { return flow_; }

 private:
  enum class State : std::uint8_t {
    kIdle,     // Between requests.
    kOpening,  // Waits for the answer to a SYN.
    kWaiting,  // Waits for the answer to a request.
  };

  // The time until the next request.
  absl::Duration DrawPause();
  void StartRequest();
  void StartAttempt();
  // `copy_number` tells apart the SYN (0) and its retransmissions.
  void SendSyn(std::uint32_t copy_number);
  void SendRequest();
  // Sends the request, and again after `retransmit_delay`, which doubles each
  // time, until the attempt ends.
  void SendWithRetransmits(absl::Duration retransmit_delay);
  void Acknowledge(bool fin);
  // Ends the attempt and starts the next one, if the request has any left.
  void RetryOrFinish();
  // Ends the request, answered or not, and schedules the next one.
  void FinishRequest(bool answered);
  void OnAnswer(const adapter::EndHostPacket& end);
  // Runs `action` after `delay` unless the attempt has ended by then.
  void AfterIfCurrent(absl::Duration delay, std::function<void()> action);

  lab::Scheduler& scheduler_;
  lab::Random random_;
  const Endpoint service_;
  const FlowUse flow_use_;
  const Send send_;
  CallerObserver& observer_;
  direct::FlowKey flow_;
  const std::uint16_t first_port_;
  const std::uint16_t ports_;
  std::uint16_t flow_count_ = 0;
  State state_ = State::kIdle;
  bool open_ = false;
  bool stopped_ = false;
  // Grows at each start and end of an attempt, which invalidates older timers.
  std::uint64_t attempt_generation_ = 0;
  int attempts_ = 0;
  absl::Time started_;
  direct::FlowCookie cookie_ = 0;
  std::uint32_t sequence_ = 0;
  std::uint32_t acknowledged_ = 0;
  std::string request_;
  // The requests that were sent on the current flow.
  std::set<std::string> flow_requests_;
  // Whether the first of the answer's two packets has arrived.
  bool first_part_received_ = false;
  std::uint64_t request_count_ = 0;
};

}  // namespace gcw::soak

#endif  // GCW_SOAK_CALLER_H_
