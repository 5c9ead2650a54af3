#ifndef GCW_SOAK_SERVER_H_
#define GCW_SOAK_SERVER_H_

#include <cstdint>
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

// A connection listener that can refuse and fall silent, where probes arrive.
class ProbeTarget {
 public:
  enum class Mode : std::uint8_t { kAccept, kRefuse, kSilent };

  explicit ProbeTarget(const Endpoint& address) : address_(address) {}
  ~ProbeTarget() { Close(); }
  ProbeTarget(const ProbeTarget&) = delete;
  ProbeTarget& operator=(const ProbeTarget&) = delete;

  void Set(Mode mode);
  // Takes connections that wait; call it every now and then.
  void Serve();

 private:
  void Open(int backlog);
  void Close();
  // Fills the queue of an unserved listener, so that later attempts hang.
  void Fill();

  const Endpoint address_;
  Mode mode_ = Mode::kRefuse;
  int listener_ = -1;
  std::vector<int> fillers_;
};

// A backend server as flows see it: opens them, runs requests once, answers in
// two packets. Not thread-safe.
class Server {
 public:
  using Send = std::function<void(const adapter::EndHostPacket&)>;
  using Ran = std::function<void(const std::string& request)>;

  Server(lab::Scheduler& scheduler, Send send, Ran ran)
      : scheduler_(scheduler), send_(std::move(send)), ran_(std::move(ran)) {}

  // A new incarnation: all flows are gone.
  void Restart();
  void set_closing(bool closing) { closing_ = closing; }
  // Whether the flow opened or opens here.
  bool Holds(const direct::FlowKey& flow) const {
    return flows_.contains(flow);
  }
  void OnPacket(const adapter::EndHostPacket& end);

 private:
  void Answer(const adapter::EndHostPacket& request);
  void SendAnswer(const adapter::EndHostPacket& request);
  void Reply(const adapter::EndHostPacket& to, adapter::EndHostPacket reply);

  lab::Scheduler& scheduler_;
  const Send send_;
  const Ran ran_;
  bool closing_ = false;
  std::uint64_t life_ = 0;
  absl::flat_hash_set<direct::FlowKey> flows_;
  absl::flat_hash_map<std::string, bool> requests_;  // Whether it is answered.
};

}  // namespace gcw::soak

#endif  // GCW_SOAK_SERVER_H_
