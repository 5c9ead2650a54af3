#ifndef GCW_REVIEW_BACKEND_H_
#define GCW_REVIEW_BACKEND_H_

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "loop.h"
#include "net.h"
#include "store.h"

namespace review {

struct BackendOptions {
  std::string id;  // "i-" and hex digits.
  std::uint64_t number = 0;
  Address address;
  std::string service;
  std::string zone;
  std::uint16_t client_port = 0;  // Where clients take packets.
  int capacity = 3;               // Requests that run at once.
  int queue = 8;                  // Requests that wait.
  double work_s = 0.04;
  // The share of packets from servers to clients that are lost.
  double loss = 0;
};

// What a server took and did, for the test's verdict.
struct Opening {
  Address client;
  double arrived = 0;
};

// A server of the platform in the form `echo`: UDP and TCP at its address.
class Backend {
 public:
  Backend(Loop& loop, ObjectStore& store, Record& record, BackendOptions o)
      : loop_(loop), store_(store), record_(record), o_(std::move(o)) {
    random_.seed(static_cast<std::uint32_t>(o_.number));
  }

  // Starts listening and registers. Returns false if the address is taken.
  bool Start(std::int64_t warmup_left_ms = 0) {
    udp_ = OpenUdp(o_.address);
    tcp_ = OpenTcp(o_.address);
    if (udp_ < 0 || tcp_ < 0) {
      return false;
    }
    born_ = UnixMs();
    alive_ = true;
    loop_.Watch(udp_, [this] { OnDatagrams(); });
    loop_.Watch(tcp_, [this] { OnConnections(); });
    warmup_left_ms_ = warmup_left_ms;
    Report("ready");
    return true;
  }

  // Writes the server's entry to the store.
  void Report(const std::string& state) {
    state_ = state;
    ++sequence_;
    store_.Put("servers", o_.id, Spec());
    record_.Write("server %s reports %s, warmup_left_ms %lld", o_.id.c_str(),
                  state.c_str(), static_cast<long long>(warmup_left_ms_));
  }
  void ReportCold(std::int64_t warmup_left_ms) {
    warmup_left_ms_ = warmup_left_ms;
    Report(state_);
  }

  std::string Spec() const {
    return "{\"service\":\"" + o_.service + "\",\"address\":\"" +
           Text(o_.address) + "\",\"zone\":\"" + o_.zone +
           "\",\"version\":\"v1\",\"capacity\":" + std::to_string(o_.capacity) +
           ",\"state\":\"" + state_ +
           "\",\"warmup_left_ms\":" + std::to_string(warmup_left_ms_) +
           ",\"sequence\":" + std::to_string(sequence_) +
           ",\"born\":" + std::to_string(born_) + "}";
  }

  // Leaves: removes the entry and stops listening.
  void Leave() {
    store_.Remove("servers", o_.id);
    record_.Write("server %s has left", o_.id.c_str());
    Close();
  }

  void Close() {
    if (!alive_) {
      return;
    }
    alive_ = false;
    loop_.Unwatch(udp_);
    loop_.Unwatch(tcp_);
    close(udp_);
    close(tcp_);
    flows_.clear();
  }

  bool alive() const { return alive_; }
  const BackendOptions& options() const { return o_; }
  // Whether the flow of the client's end `client` is open here.
  bool HasOpen(const Address& client, const Address& route) const {
    const auto it = flows_.find({client, route});
    return it != flows_.end() && it->second.open && !it->second.ended;
  }
  // The first SYN of each flow that this server took, oldest first.
  const std::vector<Opening>& openings() const { return openings_; }
  // The request ids that this server began to work on.
  const std::vector<std::string>& runs() const { return runs_; }

 private:
  using Key = std::pair<Address, Address>;  // Client's end, route.

  struct Flow {
    bool open = false;
    bool ended = false;
    std::uint32_t isn = 0;
    std::uint32_t expected = 0;  // The client's next sequence number.
    std::uint32_t next = 0;      // Of this server's next data.
    std::uint32_t echo = 0;      // The last one received.
    // The packet that the client has not acknowledged yet.
    bool unacknowledged = false;
    Packet pending;
    int retransmissions = 0;
    std::uint64_t generation = 0;
    std::string request;
  };

  void OnDatagrams() {
    std::uint8_t bytes[2048];
    for (;;) {
      const ssize_t size = recv(udp_, bytes, sizeof(bytes), 0);
      if (size < static_cast<ssize_t>(kServerPrefixBytes)) {
        return;
      }
      std::uint64_t number = 0;
      for (std::size_t i = 0; i < kServerPrefixBytes; ++i) {
        number = (number << 8) | bytes[i];
      }
      const auto packet =
          Decode(bytes + kServerPrefixBytes,
                 static_cast<std::size_t>(size) - kServerPrefixBytes);
      const bool intended = number == 0 || number == o_.number;
      if (packet && intended && IsGenuine(*packet)) {
        OnPacket(*packet);
      }
    }
  }

  // Answers health checks and closes the connection.
  void OnConnections() {
    for (;;) {
      const int fd =
          accept4(tcp_, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
      if (fd < 0) {
        return;
      }
      loop_.Watch(fd, [this, fd] {
        char bytes[1024];
        if (recv(fd, bytes, sizeof(bytes), 0) > 0) {
          const std::string answer =
              "HTTP/1.1 200 OK\r\nInstance-Id: " + o_.id +
              "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
          (void)send(fd, answer.data(), answer.size(), MSG_NOSIGNAL);
        }
        loop_.Unwatch(fd);
        close(fd);
      });
    }
  }

  void OnPacket(const Packet& p) {
    const Key key{p.from, p.to};
    auto it = flows_.find(key);
    if (p.has(kSyn)) {
      OnSyn(p, key);
      return;
    }
    if (p.has(kRst)) {
      flows_.erase(key);
      return;
    }
    if (it == flows_.end() || (it->second.ended && !p.data.empty())) {
      Reset(p);
      return;
    }
    Flow& flow = it->second;
    if (p.echo != 0) {
      flow.echo = p.echo;
    }
    if (!flow.open && p.ack == flow.isn + 1) {
      flow.open = true;
      flow.unacknowledged = false;
    }
    if (!flow.open) {
      Reset(p);
      return;
    }
    if (flow.unacknowledged &&
        static_cast<std::int32_t>(
            p.ack - flow.pending.seq -
            static_cast<std::uint32_t>(flow.pending.data.size())) >= 0) {
      flow.unacknowledged = false;
      ++flow.generation;
    }
    if (!p.data.empty()) {
      OnData(p, key, flow);
    }
    if (p.has(kFin)) {
      flow.ended = true;
      Packet ack = Answer(key, flow);
      ack.flags = kAck;
      Send(ack);
    }
  }

  void OnSyn(const Packet& p, const Key& key) {
    auto [it, added] = flows_.try_emplace(key);
    Flow& flow = it->second;
    if (!added && flow.open) {
      return;
    }
    if (added) {
      flow.isn = random_();
      flow.next = flow.isn + 1;
      flow.expected = p.seq + 1;
      openings_.push_back({p.from, Now()});
      record_.Write("server %s took SYN %s copy %u", o_.id.c_str(),
                    Text(p.from).c_str(), p.ack);
    }
    flow.echo = p.echo;
    Packet answer = Answer(key, flow);
    answer.flags = kSyn | kAck;
    answer.seq = flow.isn;
    SendReliably(key, flow, answer);
  }

  void OnData(const Packet& p, const Key& key, Flow& flow) {
    if (p.seq != flow.expected) {
      // A copy: its answer is on the way, or is sent again by its own timer.
      return;
    }
    flow.expected = p.seq + static_cast<std::uint32_t>(p.data.size());
    if (running_ >= o_.capacity + o_.queue) {
      flow.expected = p.seq;  // Full: sends nothing.
      return;
    }
    ++running_;
    const std::string id = p.data.substr(0, p.data.find('\n'));
    runs_.push_back(id);
    record_.Write("server %s runs %s", o_.id.c_str(), id.c_str());
    const double slot_free = std::max(Now(), free_at_);
    const double done = slot_free + o_.work_s;
    free_at_ = slot_free + o_.work_s / o_.capacity;
    loop_.At(done, [this, key, id] { Finish(key, id); });
  }

  void Finish(const Key& key, const std::string& id) {
    --running_;
    const auto it = flows_.find(key);
    if (!alive_ || it == flows_.end()) {
      return;
    }
    Packet answer = Answer(key, it->second);
    answer.flags = kAck;
    answer.data = "200 " + o_.id + " " + id;
    if (state_ == "draining") {
      answer.flags |= kFin;
    }
    it->second.next += static_cast<std::uint32_t>(answer.data.size());
    SendReliably(key, it->second, answer);
  }

  Packet Answer(const Key& key, const Flow& flow) const {
    Packet p;
    p.from = key.second;
    p.to = key.first;
    p.seq = flow.next;
    p.ack = flow.expected;
    p.echo = flow.echo;
    return p;
  }

  void SendReliably(const Key& key, Flow& flow, const Packet& packet) {
    flow.pending = packet;
    flow.unacknowledged = true;
    flow.retransmissions = 0;
    const std::uint64_t generation = ++flow.generation;
    Send(packet);
    RetransmitLater(key, generation, 0.2);
  }

  // Sends the flow's packet again after 200 ms, then after intervals that
  // double up to 1.6 s, 8 times at most.
  void RetransmitLater(const Key& key, std::uint64_t generation, double delay) {
    loop_.After(delay, [this, key, generation, delay] {
      const auto it = flows_.find(key);
      if (!alive_ || it == flows_.end() || !it->second.unacknowledged ||
          it->second.generation != generation) {
        return;
      }
      Flow& flow = it->second;
      if (flow.retransmissions++ == 8) {
        flows_.erase(it);
        return;
      }
      flow.pending.echo = flow.echo;
      Send(flow.pending);
      RetransmitLater(key, generation, std::min(2 * delay, 1.6));
    });
  }

  void Reset(const Packet& p) {
    Packet reset;
    reset.from = p.to;
    reset.to = p.from;
    reset.flags = kRst;
    reset.seq = p.ack;
    reset.echo = p.echo;
    record_.Write("server %s resets %s, a flow that it does not hold",
                  o_.id.c_str(), Text(p.from).c_str());
    Send(reset);
  }

  void Send(const Packet& p) {
    if (std::uniform_real_distribution<double>(0, 1)(random_) < o_.loss) {
      record_.Write("a packet of server %s to %s is lost", o_.id.c_str(),
                    Text(p.to).c_str());
      return;
    }
    SendUdp(udp_, {p.to.ip, o_.client_port}, Encode(p));
  }

  Loop& loop_;
  ObjectStore& store_;
  Record& record_;
  const BackendOptions o_;
  std::mt19937 random_;
  int udp_ = -1;
  int tcp_ = -1;
  bool alive_ = false;
  std::int64_t born_ = 0;
  std::int64_t warmup_left_ms_ = 0;
  std::uint64_t sequence_ = 0;
  std::string state_ = "ready";
  int running_ = 0;
  double free_at_ = 0;
  std::map<Key, Flow> flows_;
  std::vector<Opening> openings_;
  std::vector<std::string> runs_;
};

}  // namespace review

#endif  // GCW_REVIEW_BACKEND_H_
