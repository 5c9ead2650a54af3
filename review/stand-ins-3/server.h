#ifndef REVIEW_STAND_INS_3_SERVER_H_
#define REVIEW_STAND_INS_3_SERVER_H_

#include <sys/time.h>

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "review/stand-ins-3/loop.h"
#include "review/stand-ins-3/net.h"
#include "review/stand-ins-3/packet.h"
#include "review/stand-ins-3/record.h"
#include "review/stand-ins-3/store.h"

namespace review3 {

// The two ends of a flow: the consumer's and the route's.
using FlowKey = std::pair<Address, Address>;

inline std::string Text(const FlowKey& flow) {
  return Text(flow.first) + ">" + Text(flow.second);
}

inline std::int64_t UnixMs() {
  timeval time{};
  gettimeofday(&time, nullptr);
  return time.tv_sec * 1000LL + time.tv_usec / 1000;
}

// A server as PROTOCOL.md, "Flows", "Servers" and "Service discovery", tells
// it. Every request and every answer is one packet.
class Server {
 public:
  // Tells that a flow has opened here.
  using OnOpen = std::function<void(const FlowKey& flow, Server& server)>;

  // Packets for a consumer go to its address at `consumer_port`.
  Server(Loop& loop,
         Record& record,
         Store& store,
         std::uint64_t number,
         const std::string& service,
         const Address& address,
         const std::string& zone,
         std::uint16_t consumer_port,
         OnOpen on_open)
      : loop_(loop),
        record_(record),
        store_(store),
        number_(number),
        service_(service),
        address_(address),
        zone_(zone),
        consumer_port_(consumer_port),
        on_open_(std::move(on_open)) {
    char id[32];
    std::snprintf(id, sizeof(id), "i-%08llx",
                  static_cast<unsigned long long>(number));
    id_ = id;
  }
  ~Server() { CloseSockets(); }
  Server(const Server&) = delete;

  const std::string& id() const { return id_; }
  const std::string& zone() const { return zone_; }
  const std::string& service() const { return service_; }
  bool running() const { return udp_ >= 0; }
  // Counts the starts.
  int boot() const { return boot_; }
  // When the server last started or ended.
  double disturbed_at() const { return disturbed_at_; }

  // Starts the server, which is cold for `cold` seconds, and registers it.
  // Returns whether its address could be opened.
  bool Start(double cold) {
    udp_ = OpenSocket(SOCK_DGRAM, address_);
    tcp_ = OpenListener(address_);
    if (udp_ < 0 || tcp_ < 0) {
      return false;
    }
    loop_.WatchReadable(udp_, [this] { OnDatagrams(); });
    loop_.WatchReadable(tcp_, [this] { OnConnection(); });
    ++boot_;
    born_ = UnixMs();
    sequence_ = 0;
    draining_ = false;
    cold_from_ = loop_.now();
    warm_at_ = cold_from_ + cold;
    openings_.clear();
    disturbed_at_ = loop_.now();
    if (boot_ > 1) {
      record_.Say("server " + id_ + " starts again, boot " +
                  std::to_string(boot_));
    }
    Beat(boot_);
    return true;
  }

  // The server, which runs on, is cold for `cold` seconds from now on. Its next
  // beat tells it.
  void BecomeCold(double cold) {
    record_.Say("server " + id_ + " becomes cold");
    cold_from_ = loop_.now();
    warm_at_ = cold_from_ + cold;
    openings_.clear();
  }
  bool cold() const { return loop_.now() < warm_at_; }
  // Whether the store has been told of the present cold time.
  bool cold_reported() const { return reported_cold_from_ == cold_from_; }
  // The most flows that opened here within one second of the last cold time, by
  // the arrival of their first packet.
  std::size_t MostOpenings() const {
    std::size_t most = 0;
    for (std::size_t i = 0, j = 0; j < openings_.size(); ++j) {
      while (openings_[j] - openings_[i] >= 1.0) {
        ++i;
      }
      most = std::max(most, j - i + 1);
    }
    return most;
  }

  // The process ends at once. The store removes the entry after three intervals
  // of silence.
  void Crash() {
    record_.Say("server " + id_ + " crashes");
    loop_.After(3 * kBeat, [this, boot = boot_] {
      if (boot == boot_) {
        store_.Remove("servers", id_);
        record_.Line("store removes " + id_);
      }
    });
    disturbed_at_ = loop_.now();
    CloseSockets();
    flows_.clear();
    ended_.clear();
  }

 private:
  static constexpr double kBeat = 1.2;
  static constexpr double kWork = 0.005;
  static constexpr double kFirstRetransmit = 0.2;
  static constexpr double kMaxRetransmit = 1.6;
  static constexpr int kMaxRetransmits = 8;

  struct Flow {
    bool open = false;
    double syn_at = 0;           // When the first SYN arrived.
    std::uint32_t first = 0;     // `seq` of the SYN+ACK.
    std::uint32_t next = 0;      // `seq` of the next packet from here.
    std::uint32_t expected = 0;  // `seq` of the consumer's next packet.
    std::uint32_t echo = 0;      // The last one received.
    std::string unacknowledged;  // The last answer.
    std::uint64_t answer = 0;    // Its number.
  };

  void CloseSockets() {
    for (int* fd : {&udp_, &tcp_}) {
      if (*fd >= 0) {
        loop_.Unwatch(*fd);
        close(*fd);
        *fd = -1;
      }
    }
  }

  // Writes the entry if more than `sequence` has changed.
  void Beat(int boot) {
    if (boot != boot_ || !running()) {
      return;
    }
    ++sequence_;
    const double left = std::max(0.0, warm_at_ - loop_.now());
    const Store::Json spec = {{"service", service_},
                              {"address", Text(address_)},
                              {"zone", zone_},
                              {"version", "v1"},
                              {"capacity", 3},
                              {"state", draining_ ? "draining" : "ready"},
                              {"warmup_left_ms", static_cast<int>(left * 1000)},
                              {"sequence", sequence_},
                              {"born", born_}};
    const Store::Json* last = store_.Find("servers", id_);
    Store::Json compared = spec;
    if (last != nullptr) {
      compared["sequence"] = (*last)["sequence"];
    }
    if (last == nullptr || compared != *last) {
      store_.Put("servers", id_, spec);
      record_.Line("store has " + id_ + " " + spec.dump());
    }
    reported_cold_from_ = cold_from_;
    loop_.After(kBeat, [this, boot] { Beat(boot); });
  }

  // A probe or a health check.
  void OnConnection() {
    const int fd =
        accept4(tcp_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
      return;
    }
    loop_.After(0.05, [this, fd] {
      char buffer[1024];
      if (recv(fd, buffer, sizeof(buffer), 0) > 0) {
        const std::string answer = "HTTP/1.1 200 OK\r\nInstance-Id: " + id_ +
                                   "\r\nContent-Length: 0\r\n\r\n";
        (void)send(fd, answer.data(), answer.size(), MSG_NOSIGNAL);
      }
      close(fd);
    });
  }

  void OnDatagrams() {
    std::string bytes;
    Address from;
    while (running() && ReceiveDatagram(udp_, &bytes, &from)) {
      if (bytes.size() < 8) {
        continue;
      }
      std::uint64_t number = 0;
      for (int i = 0; i < 8; ++i) {
        number = number << 8 | static_cast<unsigned char>(bytes[i]);
      }
      const auto packet = Decode(bytes.substr(8));
      if (packet && (number == 0 || number == number_)) {
        OnPacket(*packet);
      }
    }
  }

  void OnPacket(const FlowPacket& packet) {
    const FlowKey key{packet.from, packet.to};
    if (packet.has(kSyn)) {
      OnSyn(key, packet);
      return;
    }
    if (packet.has(kRst)) {
      flows_.erase(key);
      return;
    }
    const auto it = flows_.find(key);
    if (it == flows_.end()) {
      if (ended_.contains(key) && packet.data.empty()) {
        if (packet.has(kFin)) {
          Send(key, kAck, packet.ack, packet.seq + 1, packet.echo, "");
        }
        return;
      }
      record_.Line("server " + id_ + " resets " + Text(key) +
                   ", which it does not hold");
      Send(key, kRst, packet.ack, packet.seq, packet.echo, "");
      return;
    }
    Flow& flow = it->second;
    flow.echo = packet.echo;
    if (!flow.open) {
      if (packet.ack != flow.first + 1) {
        return;  // It acknowledges another server's SYN+ACK.
      }
      flow.open = true;
      if (flow.syn_at >= cold_from_ && flow.syn_at < warm_at_) {
        openings_.insert(
            std::upper_bound(openings_.begin(), openings_.end(), flow.syn_at),
            flow.syn_at);
      }
      record_.Line("server " + id_ + " opens " + Text(key) +
                   (cold() ? ", cold" : ""));
      on_open_(key, *this);
    }
    if (packet.ack == flow.next) {
      flow.unacknowledged.clear();
    }
    if (!packet.data.empty()) {
      OnData(key, flow, packet);
    }
    if (packet.has(kFin)) {
      Send(key, kFin | kAck, flow.next, packet.seq + 1, flow.echo, "");
      flows_.erase(key);
      ended_.insert(key);
    }
  }

  void OnSyn(const FlowKey& key, const FlowPacket& packet) {
    const auto [it, added] = flows_.try_emplace(key);
    Flow& flow = it->second;
    if (added) {
      flow.syn_at = loop_.now();
      flow.first = static_cast<std::uint32_t>(++last_first_ * 1'000'003 +
                                              number_ * 7919);
      flow.next = flow.first + 1;
      flow.expected = packet.seq + 1;
    }
    flow.echo = packet.echo;
    Send(key, kSyn | kAck, flow.first, flow.expected, flow.echo, "");
  }

  void OnData(const FlowKey& key, Flow& flow, const FlowPacket& packet) {
    if (packet.seq != flow.expected) {
      if (!flow.unacknowledged.empty()) {
        SendAnswer(key, flow);
      }
      return;
    }
    flow.expected += static_cast<std::uint32_t>(packet.data.size());
    const std::string name = "Request-Id: ";
    const std::size_t at = packet.data.find(name) + name.size();
    const std::string request =
        packet.data.substr(at, packet.data.find("\r\n", at) - at);
    record_.Line("server " + id_ + " runs " + request + " of " + Text(key));
    loop_.After(kWork, [this, key, request, boot = boot_] {
      const auto it = flows_.find(key);
      if (boot != boot_ || it == flows_.end()) {
        return;
      }
      it->second.unacknowledged = "HTTP/1.1 200 OK\r\nRequest-Id: " + request +
                                  "\r\nServer-Signature: " + id_ +
                                  "\r\nContent-Length: 0\r\n\r\n";
      it->second.next +=
          static_cast<std::uint32_t>(it->second.unacknowledged.size());
      const std::uint64_t answer = ++it->second.answer;
      SendAnswer(key, it->second);
      Retransmit(key, boot, answer, kFirstRetransmit, 0);
    });
  }

  void Retransmit(const FlowKey& key,
                  int boot,
                  std::uint64_t answer,
                  double delay,
                  int count) {
    loop_.After(delay, [this, key, boot, answer, delay, count] {
      const auto it = flows_.find(key);
      if (boot != boot_ || it == flows_.end() || it->second.answer != answer ||
          it->second.unacknowledged.empty() || count == kMaxRetransmits) {
        return;
      }
      SendAnswer(key, it->second);
      Retransmit(key, boot, answer, std::min(2 * delay, kMaxRetransmit),
                 count + 1);
    });
  }

  void SendAnswer(const FlowKey& key, const Flow& flow) {
    Send(key, kAck,
         flow.next - static_cast<std::uint32_t>(flow.unacknowledged.size()),
         flow.expected, flow.echo, flow.unacknowledged);
  }

  void Send(const FlowKey& key,
            int flags,
            std::uint32_t seq,
            std::uint32_t ack,
            std::uint32_t echo,
            const std::string& data) {
    FlowPacket packet;
    packet.from = key.second;
    packet.to = key.first;
    packet.flags = static_cast<std::uint8_t>(flags);
    packet.seq = seq;
    packet.ack = ack;
    packet.echo = echo;
    packet.data = data;
    SendDatagram(udp_, {key.first.ip, consumer_port_}, Encode(packet));
  }

  Loop& loop_;
  Record& record_;
  Store& store_;
  const std::uint64_t number_;
  std::string id_;
  const std::string service_;
  const Address address_;
  const std::string zone_;
  const std::uint16_t consumer_port_;
  const OnOpen on_open_;
  int udp_ = -1;
  int tcp_ = -1;
  int boot_ = 0;
  std::int64_t born_ = 0;
  std::uint64_t sequence_ = 0;
  bool draining_ = false;
  // The last cold time, and the one that the store was told of.
  double cold_from_ = 0;
  double warm_at_ = 0;
  double reported_cold_from_ = -1;
  std::vector<double> openings_;  // In the last cold time.
  double disturbed_at_ = 0;
  std::uint32_t last_first_ = 0;
  std::map<FlowKey, Flow> flows_;
  std::set<FlowKey> ended_;
};

}  // namespace review3

#endif  // REVIEW_STAND_INS_3_SERVER_H_
