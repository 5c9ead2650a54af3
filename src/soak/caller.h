#ifndef GCW_SOAK_CALLER_H_
#define GCW_SOAK_CALLER_H_

#include <cstdint>
#include <functional>
#include <string>

#include "platform/stand_in_packet.h"
#include "src/lab/random.h"
#include "src/lab/scheduler.h"

namespace gcw::soak {

// What a caller tells of its requests and flows.
class CallerObserver {
 public:
  virtual ~CallerObserver() = default;

  virtual void OnRequest(absl::Time started) = 0;
  virtual void OnAnswered(absl::Time started) = 0;
  virtual void OnWrongAnswer() = 0;
  // The system reset a flow that was open for its caller.
  virtual void OnSystemReset(const direct::FlowKey& flow) = 0;
};

// One user: sends a request after the other, over one flow as long as it lasts
// or over a new one each, and tries again as the platform's callers do. Not
// thread-safe; all its actions run on the scheduler.
class Caller {
 public:
  using Send = std::function<void(const adapter::EndHostPacket&)>;

  // `address` is the caller's; ports are taken from `first_port` on.
  Caller(lab::Scheduler& scheduler,
         std::uint64_t seed,
         const Endpoint& address,
         const Endpoint& service,
         bool fresh_flows,
         Send send,
         CallerObserver& observer);

  void Start();
  // No new requests.
  void Stop() { stopped_ = true; }
  void OnPacket(const adapter::EndHostPacket& end);
  const direct::FlowKey& flow() const { return flow_; }

 private:
  enum class State : std::uint8_t { kIdle, kOpening, kWaiting };

  void Begin();
  void Try();
  void SendSyn(std::uint32_t copy);
  void SendRequest();
  void Repeat(absl::Duration after);
  void Acknowledge(bool fin);
  void TryAgain();
  void Finish();
  void OnAnswer(const adapter::EndHostPacket& end);
  // Runs `action` unless the try has ended by then.
  void AfterIfCurrent(absl::Duration delay, std::function<void()> action);

  lab::Scheduler& scheduler_;
  lab::Random random_;
  const Endpoint service_;
  const bool fresh_flows_;
  const Send send_;
  CallerObserver& observer_;
  direct::FlowKey flow_;
  std::uint16_t next_port_;
  State state_ = State::kIdle;
  bool open_ = false;
  bool stopped_ = false;
  std::uint64_t step_ = 0;  // Numbers tries and requests, for timers.
  int tries_ = 0;
  absl::Time started_;
  direct::FlowCookie cookie_ = 0;
  std::uint32_t sequence_ = 0;
  std::uint32_t acknowledged_ = 0;
  std::string request_;
  bool got_first_ = false;
  std::uint64_t requests_ = 0;
};

}  // namespace gcw::soak

#endif  // GCW_SOAK_CALLER_H_
