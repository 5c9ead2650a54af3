#ifndef GCW_REVIEW_CLIENT_H_
#define GCW_REVIEW_CLIENT_H_

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "loop.h"
#include "net.h"
#include "platform.h"

namespace review {

// How an attempt of a client ended.
enum class Outcome { kAnswered, kReset, kNotOpened, kTimedOut, kBrokenOff };

inline const char* Name(Outcome outcome) {
  switch (outcome) {
    case Outcome::kAnswered:
      return "answered";
    case Outcome::kReset:
      return "reset";
    case Outcome::kNotOpened:
      return "not opened";
    case Outcome::kTimedOut:
      return "timed out";
    case Outcome::kBrokenOff:
      break;
  }
  return "broken off";
}

// A reset that a client got.
struct ResetSeen {
  Address client;
  Address route;
  Address sender;          // The UDP address that sent it.
  bool of_system = false;  // Without a sum.
  double time = 0;
};

// A client host: opens flows and sends requests on them.
class Client {
 public:
  using Done = std::function<void(Outcome)>;
  using OnReset = std::function<void(const ResetSeen&)>;

  Client(Loop& loop,
         Record& record,
         const Router& router,
         std::string zone,
         Address address)
      : loop_(loop),
        record_(record),
        router_(router),
        zone_(std::move(zone)),
        address_(address),
        random_(address.ip) {
    fd_ = OpenUdp(address_);
    loop_.Watch(fd_, [this] { OnDatagrams(); });
  }
  ~Client() {
    loop_.Unwatch(fd_);
    close(fd_);
  }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  bool ok() const { return fd_ >= 0; }
  void set_on_reset(OnReset on_reset) { on_reset_ = std::move(on_reset); }

  // Opens a flow from a new port and sends `request` on it. Returns the port.
  std::uint16_t OpenAndSend(const Address& route,
                            const std::string& request,
                            double budget,
                            Done done) {
    const std::uint16_t port = next_port_++;
    Flow& flow = flows_[port];
    flow.self = {address_.ip, port};
    flow.route = route;
    flow.isn = random_();
    flow.next = flow.isn + 1;
    Begin(port, request, budget, std::move(done));
    SendSyn(port, 0);
    const std::uint64_t generation = flow.generation;
    for (const auto& [delay, copy] : {std::pair(0.2, 1U), std::pair(0.6, 2U)}) {
      loop_.After(delay, [this, port, generation, copy = copy] {
        const auto it = flows_.find(port);
        if (it != flows_.end() && it->second.generation == generation &&
            !it->second.open) {
          SendSyn(port, copy);
        }
      });
    }
    loop_.After(1.4, [this, port, generation] {
      const auto it = flows_.find(port);
      if (it != flows_.end() && it->second.generation == generation &&
          !it->second.open) {
        Finish(port, Outcome::kNotOpened, true);
      }
    });
    return port;
  }

  // Sends `request` on the open flow of `port`.
  void Send(std::uint16_t port,
            const std::string& request,
            double budget,
            Done done) {
    Begin(port, request, budget, std::move(done));
    SendRequest(port, 0.2);
  }

  bool IsOpen(std::uint16_t port) const {
    const auto it = flows_.find(port);
    return it != flows_.end() && it->second.open;
  }

  // Closes the flow with a FIN.
  void Close(std::uint16_t port) {
    const auto it = flows_.find(port);
    if (it == flows_.end()) {
      return;
    }
    Packet fin = Head(it->second);
    fin.flags = kAck | kFin;
    Transmit(fin);
    flows_.erase(it);
  }

 private:
  struct Flow {
    Address self;
    Address route;
    bool open = false;
    std::uint32_t isn = 0;
    std::uint32_t next = 0;      // Sequence number of the request.
    std::uint32_t expected = 0;  // The server's next sequence number.
    std::uint32_t echo = 0;      // The last one received on the flow.
    std::string request;
    Done done;
    bool waiting = false;
    std::uint64_t generation = 0;
  };

  void Begin(std::uint16_t port,
             const std::string& request,
             double budget,
             Done done) {
    Flow& flow = flows_[port];
    flow.request = request;
    flow.done = std::move(done);
    flow.waiting = true;
    const std::uint64_t generation = ++flow.generation;
    record_.Write("client %s sends %s", Text(flow.self).c_str(),
                  request.c_str());
    loop_.After(budget, [this, port, generation] {
      const auto it = flows_.find(port);
      if (it != flows_.end() && it->second.generation == generation &&
          it->second.waiting) {
        Finish(port, Outcome::kTimedOut, true);
      }
    });
  }

  void SendSyn(std::uint16_t port, std::uint32_t copy) {
    const Flow& flow = flows_[port];
    Packet syn;
    syn.from = flow.self;
    syn.to = flow.route;
    syn.flags = kSyn;
    syn.seq = flow.isn;
    syn.ack = copy;
    Transmit(syn);
  }

  void SendRequest(std::uint16_t port, double delay) {
    Flow& flow = flows_[port];
    Packet request = Head(flow);
    request.flags = kAck;
    request.data = flow.request + "\n";
    Transmit(request);
    loop_.After(delay, [this, port, delay, generation = flow.generation] {
      const auto it = flows_.find(port);
      if (it != flows_.end() && it->second.generation == generation &&
          it->second.waiting) {
        SendRequest(port, std::min(2 * delay, 1.6));
      }
    });
  }

  static Packet Head(const Flow& flow) {
    Packet p;
    p.from = flow.self;
    p.to = flow.route;
    p.seq = flow.next;
    p.ack = flow.expected;
    p.echo = flow.echo;
    return p;
  }

  void Transmit(const Packet& p) {
    const Machine* machine = router_.Select(zone_, p.from, p.to);
    if (machine != nullptr) {
      const MachineOptions& o = machine->options();
      SendUdp(fd_, {o.ip, o.packets_port}, Encode(p));
    }
  }

  void OnDatagrams() {
    std::uint8_t bytes[2048];
    for (;;) {
      sockaddr_in from{};
      socklen_t length = sizeof(from);
      const ssize_t size =
          recvfrom(fd_, bytes, sizeof(bytes), 0,
                   reinterpret_cast<sockaddr*>(&from), &length);
      if (size < 0) {
        return;
      }
      const auto packet = Decode(bytes, static_cast<std::size_t>(size));
      const Address sender{ntohl(from.sin_addr.s_addr), ntohs(from.sin_port)};
      if (packet &&
          (IsGenuine(*packet) || (packet->has(kRst) && packet->sum == 0))) {
        OnPacket(*packet, sender);
      }
    }
  }

  void OnPacket(const Packet& p, const Address& sender) {
    const auto it = flows_.find(p.to.port);
    if (it == flows_.end() || it->second.self != p.to ||
        it->second.route != p.from) {
      return;
    }
    Flow& flow = it->second;
    if (p.echo != 0) {
      flow.echo = p.echo;
    }
    if (p.has(kRst)) {
      OnResetPacket(p, sender, flow);
      return;
    }
    if (p.has(kSyn)) {
      if (!flow.open) {
        flow.open = true;
        flow.expected = p.seq + 1;
        SendRequest(p.to.port, 0.2);
      }
      return;
    }
    if (p.data.empty() || p.seq != flow.expected) {
      if (!p.data.empty()) {
        Acknowledge(flow);  // A copy: its acknowledgement was lost.
      }
      return;
    }
    flow.expected += static_cast<std::uint32_t>(p.data.size());
    const bool own = p.data.ends_with(" " + flow.request);
    if (own && flow.waiting) {
      flow.next += static_cast<std::uint32_t>(flow.request.size()) + 1;
      Acknowledge(flow);
      Finish(p.to.port, Outcome::kAnswered, p.has(kFin));
    }
  }

  void OnResetPacket(const Packet& p, const Address& sender, Flow& flow) {
    const bool of_system = p.sum == 0;
    const auto distance = static_cast<std::int32_t>(p.seq - flow.expected);
    if (of_system && flow.open && std::abs(distance) > 76'800) {
      return;
    }
    record_.Write("client %s got a reset from %s (%s)", Text(flow.self).c_str(),
                  Text(sender).c_str(), of_system ? "the system" : "a server");
    if (on_reset_) {
      on_reset_({flow.self, flow.route, sender, of_system, Now()});
    }
    Finish(p.to.port, Outcome::kReset, true);
  }

  void Acknowledge(const Flow& flow) {
    Packet ack = Head(flow);
    ack.flags = kAck;
    Transmit(ack);
  }

  // Ends the request of `port`. `drop` forgets the flow.
  void Finish(std::uint16_t port, Outcome outcome, bool drop) {
    const auto it = flows_.find(port);
    Flow& flow = it->second;
    const bool waiting = std::exchange(flow.waiting, false);
    const Done done = std::exchange(flow.done, nullptr);
    ++flow.generation;
    if (waiting) {
      record_.Write("client %s: %s is %s", Text(flow.self).c_str(),
                    flow.request.c_str(), Name(outcome));
    }
    if (drop) {
      flows_.erase(it);
    }
    if (waiting && done) {
      done(outcome);
    }
  }

  Loop& loop_;
  Record& record_;
  const Router& router_;
  const std::string zone_;
  const Address address_;
  std::mt19937 random_;
  int fd_ = -1;
  std::uint16_t next_port_ = 20'000;
  std::map<std::uint16_t, Flow> flows_;
  OnReset on_reset_;
};

}  // namespace review

#endif  // GCW_REVIEW_CLIENT_H_
