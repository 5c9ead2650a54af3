#ifndef REVIEW_STAND_INS_3_CONSUMER_H_
#define REVIEW_STAND_INS_3_CONSUMER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "review/stand-ins-3/daemon.h"
#include "review/stand-ins-3/loop.h"
#include "review/stand-ins-3/net.h"
#include "review/stand-ins-3/packet.h"
#include "review/stand-ins-3/record.h"
#include "review/stand-ins-3/server.h"

namespace review3 {

// How the requests of all consumers ended.
struct Results {
  int sent = 0;
  int answered = 0;
  int never_opened = 0;
  int reset_by_server = 0;
  int reset_by_system = 0;
  int timed_out = 0;
};

// One consumer's host. It opens flows, sends requests on them one after the
// other, and closes them. It does not try again.
class Consumer {
 public:
  // Tells that `daemon`, by the address that sent it, reset the open flow
  // `flow`; the flow's last packet before that passed `idle` seconds ago, not
  // counting the request that is not answered.
  struct Reset {
    FlowKey flow;
    Address daemon;
    double idle = 0;
    std::string request;
  };
  using OnReset = std::function<void(const Reset& reset)>;

  Consumer(Loop& loop,
           Record& record,
           Router& router,
           const std::string& zone,
           const Address& address,
           double budget,
           Results& results,
           OnReset on_reset)
      : loop_(loop),
        record_(record),
        router_(router),
        zone_(zone),
        ip_(address.ip),
        budget_(budget),
        results_(results),
        on_reset_(std::move(on_reset)) {
    socket_ = OpenSocket(SOCK_DGRAM, address);
    if (socket_ >= 0) {
      loop_.WatchReadable(socket_, [this] { OnDatagrams(); });
    }
  }
  ~Consumer() { close(socket_); }
  Consumer(const Consumer&) = delete;

  bool open() const { return socket_ >= 0; }

  // If set, tells of each first request that was answered, and of each flow
  // that the system reset before it was open. `via` names the daemon that all
  // packets of the flow went to until then, and is empty if there were several.
  // `began` is when the first packet was sent.
  using OnFlow = std::function<
      void(const FlowKey& flow, const std::string& via, double began)>;
  OnFlow on_first_answer;
  OnFlow on_refused;

  // Opens a flow to `route`. Sends one request at once and one after each of
  // `pauses`, then closes the flow.
  void OpenFlow(const Address& route, std::vector<double> pauses) {
    const std::uint16_t port = next_port_++;
    Flow& flow = flows_[port];
    flow.key = {{ip_, port}, route};
    flow.first = 1000u * port;
    flow.next = flow.first + 1;
    flow.pauses = std::move(pauses);
    flow.request = NextRequest(flow);
    flow.began = loop_.now();
    SendSyn(port, 0);
    loop_.After(0.2, [this, port] { SendSyn(port, 1); });
    loop_.After(0.6, [this, port] { SendSyn(port, 2); });
    loop_.After(1.4, [this, port] {
      if (Flow* f = Find(port); f != nullptr && !f->open) {
        ++results_.never_opened;
        End(port, "never opened");
      }
    });
  }

 private:
  static constexpr double kFirstRetransmit = 0.2;
  static constexpr double kMaxRetransmit = 1.6;

  struct Flow {
    FlowKey key;
    bool open = false;
    bool waiting = false;
    std::uint32_t first = 0;
    std::uint32_t next = 0;
    std::uint32_t ack = 0;
    std::uint32_t echo = 0;
    std::vector<double> pauses;
    std::size_t answered = 0;
    std::string request;
    double request_at = 0;
    double began = 0;
    std::set<std::string> via;  // The daemons that got its packets.
    double last_packet = 0;     // Of the last exchange that was answered.
  };

  Flow* Find(std::uint16_t port) {
    const auto it = flows_.find(port);
    return it == flows_.end() ? nullptr : &it->second;
  }

  static std::string ViaOf(const Flow& flow) {
    return flow.via.size() == 1 ? *flow.via.begin() : "";
  }

  std::string NextRequest(const Flow& flow) {
    return Text(flow.key.first) + "/" + std::to_string(flow.answered + 1);
  }

  void End(std::uint16_t port, const std::string& how) {
    record_.Line("consumer " + flows_[port].request + ": " + how);
    flows_.erase(port);
  }

  void Send(Flow& flow,
            int flags,
            std::uint32_t seq,
            std::uint32_t ack,
            const std::string& data) {
    FlowPacket packet;
    packet.from = flow.key.first;
    packet.to = flow.key.second;
    packet.flags = static_cast<std::uint8_t>(flags);
    packet.seq = seq;
    packet.ack = ack;
    packet.echo = flow.echo;
    packet.data = data;
    const Daemon* daemon = router_.Send(zone_, Text(flow.key), Encode(packet));
    flow.via.insert(daemon == nullptr ? "nobody" : daemon->name());
    if (!data.empty() || (flags & kSyn) != 0) {
      record_.Line("consumer " + flow.request + " sends " +
                   ((flags & kSyn) != 0 ? "SYN" : "data") + " via " +
                   (daemon == nullptr ? "nobody" : daemon->name()));
    }
  }

  void SendSyn(std::uint16_t port, std::uint32_t copy) {
    Flow* flow = Find(port);
    if (flow != nullptr && !flow->open) {
      Send(*flow, kSyn, flow->first, copy, "");
    }
  }

  void StartRequest(std::uint16_t port) {
    Flow* flow = Find(port);
    if (flow == nullptr) {
      return;
    }
    ++results_.sent;
    flow->waiting = true;
    flow->request = NextRequest(*flow);
    flow->request_at = loop_.now();
    SendRequest(port, flow->request, kFirstRetransmit);
    loop_.After(budget_, [this, port, request = flow->request] {
      Flow* f = Find(port);
      if (f != nullptr && f->waiting && f->request == request) {
        ++results_.timed_out;
        Send(*f, kRst, f->next, f->ack, "");
        End(port, "no answer in the time budget");
      }
    });
  }

  void SendRequest(std::uint16_t port,
                   const std::string& request,
                   double delay) {
    Flow* flow = Find(port);
    if (flow == nullptr || !flow->waiting || flow->request != request) {
      return;
    }
    Send(*flow, kAck, flow->next, flow->ack, RequestText(request));
    loop_.After(delay, [this, port, request, delay] {
      SendRequest(port, request, std::min(2 * delay, kMaxRetransmit));
    });
  }

  static std::string RequestText(const std::string& request) {
    return "POST /callout HTTP/1.1\r\nHost: pool\r\nRequest-Id: " + request +
           "\r\nContent-Length: 0\r\n\r\n";
  }

  void OnDatagrams() {
    std::string bytes;
    Address from;
    while (ReceiveDatagram(socket_, &bytes, &from)) {
      const auto packet = Decode(bytes);
      Flow* flow = packet ? Find(packet->to.port) : nullptr;
      if (flow != nullptr && packet->from == flow->key.second) {
        OnPacket(packet->to.port, *flow, *packet, from);
      }
    }
  }

  void OnPacket(std::uint16_t port,
                Flow& flow,
                const FlowPacket& packet,
                const Address& from) {
    if (packet.has(kRst)) {
      OnReset_(port, flow, packet, from);
      return;
    }
    flow.echo = packet.echo;
    if (packet.has(kSyn)) {
      if (!flow.open) {
        flow.open = true;
        flow.ack = packet.seq + 1;
        flow.last_packet = loop_.now();
        StartRequest(port);
      }
      return;
    }
    const auto size = static_cast<std::uint32_t>(packet.data.size());
    if (size == 0 || packet.seq != flow.ack || !flow.waiting) {
      if (size > 0) {
        Send(flow, kAck, flow.next, flow.ack, "");  // A copy.
      }
      return;
    }
    flow.ack += size;
    flow.next += static_cast<std::uint32_t>(RequestText(flow.request).size());
    flow.waiting = false;
    flow.last_packet = loop_.now();
    ++results_.answered;
    if (flow.answered == 0 && on_first_answer) {
      on_first_answer(flow.key, ViaOf(flow), flow.began);
    }
    record_.Line("consumer " + flow.request + ": answered by " +
                 packet.data.substr(packet.data.find("Server-Signature"), 28));
    if (flow.answered == flow.pauses.size()) {
      Send(flow, kFin | kAck, flow.next, flow.ack, "");
      flows_.erase(port);
      return;
    }
    Send(flow, kAck, flow.next, flow.ack, "");
    loop_.After(flow.pauses[flow.answered++],
                [this, port] { StartRequest(port); });
  }

  void OnReset_(std::uint16_t port,
                const Flow& flow,
                const FlowPacket& packet,
                const Address& from) {
    const bool by_system = packet.sum == 0;
    if (by_system && flow.open && packet.seq - flow.ack + 76'800 > 2 * 76'800) {
      return;
    }
    if (!flow.open) {
      ++results_.never_opened;
      if (by_system && on_refused) {
        on_refused(flow.key, ViaOf(flow), flow.began);
      }
    } else if (by_system) {
      ++results_.reset_by_system;
      const double until = flow.waiting ? flow.request_at : loop_.now();
      on_reset_({flow.key, from, until - flow.last_packet, flow.request});
    } else {
      ++results_.reset_by_server;
    }
    End(port,
        (by_system ? "reset by the system, from " : "reset by ") + Text(from));
  }

  Loop& loop_;
  Record& record_;
  Router& router_;
  const std::string zone_;
  const std::uint32_t ip_;
  const double budget_;
  Results& results_;
  const OnReset on_reset_;
  int socket_ = -1;
  std::uint16_t next_port_ = 20'000;
  std::map<std::uint16_t, Flow> flows_;
};

}  // namespace review3

#endif  // REVIEW_STAND_INS_3_CONSUMER_H_
