// Small stand-ins for the users' platform, with which the cases 6 to 10 of the
// review play: a store, backend servers, callers and the routers. All of them
// run in one process on one event loop; the daemons are real processes. Only
// loopback addresses are used.

#ifndef REVIEW_STAND_INS_2_WORLD_H_
#define REVIEW_STAND_INS_2_WORLD_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace review2 {

// Exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCannotRun = 2;

// Ends the case because it cannot run.
[[noreturn]] inline void Fail(const std::string& why) {
  std::fprintf(stderr, "cannot run: %s: %s\n", why.c_str(),
               std::strerror(errno));
  std::exit(kCannotRun);
}

// Whether the disruption is to happen. TROUBLE=0 leaves it out.
inline bool WithTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

inline double MonotonicSeconds() {
  timespec now{};
  clock_gettime(CLOCK_MONOTONIC, &now);
  return static_cast<double>(now.tv_sec) +
         static_cast<double>(now.tv_nsec) / 1e9;
}

inline std::int64_t UnixMillis() {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  return now.tv_sec * 1000 + now.tv_nsec / 1'000'000;
}

struct Address {
  std::uint32_t ip = 0;
  std::uint16_t port = 0;

  bool operator==(const Address&) const = default;
  sockaddr_in ToSockaddr() const {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(ip);
    address.sin_port = htons(port);
    return address;
  }
  std::string ToString() const {
    return std::to_string(ip >> 24) + "." + std::to_string(ip >> 16 & 255) +
           "." + std::to_string(ip >> 8 & 255) + "." +
           std::to_string(ip & 255) + ":" + std::to_string(port);
  }
};

// Timers and readable descriptors on one thread. Times are seconds since the
// start of the loop.
class Loop {
 public:
  Loop() : start_(MonotonicSeconds()) {}

  double now() const { return MonotonicSeconds() - start_; }
  void At(double time, std::function<void()> action) {
    timers_.emplace(time, std::move(action));
  }
  void After(double delay, std::function<void()> action) {
    At(now() + delay, std::move(action));
  }
  void Watch(int fd, std::function<void()> on_readable) {
    readers_[fd] = std::move(on_readable);
  }
  void Unwatch(int fd) { readers_.erase(fd); }

  void RunUntil(double end) {
    while (now() < end) {
      RunTimers();
      Poll(end);
    }
  }

 private:
  void RunTimers() {
    while (!timers_.empty() && timers_.begin()->first <= now()) {
      const auto action = std::move(timers_.begin()->second);
      timers_.erase(timers_.begin());
      action();
    }
  }
  void Poll(double end) {
    double wait = end - now();
    if (!timers_.empty()) {
      wait = std::min(wait, timers_.begin()->first - now());
    }
    std::vector<pollfd> polled;
    for (const auto& [fd, action] : readers_) {
      polled.push_back({fd, POLLIN, 0});
    }
    const int timeout = wait <= 0 ? 0 : static_cast<int>(wait * 1000) + 1;
    if (poll(polled.data(), polled.size(), timeout) <= 0) {
      return;
    }
    for (const pollfd& each : polled) {
      const auto reader = readers_.find(each.fd);
      if (each.revents != 0 && reader != readers_.end()) {
        const auto action = reader->second;
        action();
      }
    }
  }

  const double start_;
  std::multimap<double, std::function<void()>> timers_;
  std::map<int, std::function<void()>> readers_;
};

// What was sent, answered and run, in the file record.txt.
class Record {
 public:
  Record(const Loop& loop, const std::string& path)
      : loop_(loop), file_(std::fopen(path.c_str(), "w")) {
    if (file_ == nullptr) {
      Fail("open " + path);
    }
  }
  ~Record() { std::fclose(file_); }
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  __attribute__((format(printf, 2, 3))) void Write(const char* format, ...) {
    std::fprintf(file_, "%8.3f  ", loop_.now());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file_, format, arguments);
    va_end(arguments);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  const Loop& loop_;
  std::FILE* const file_;
};

inline int OpenSocket(int type, const Address& address) {
  const int fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in bound = address.ToSockaddr();
  if (fd < 0 ||
      bind(fd, reinterpret_cast<const sockaddr*>(&bound), sizeof(bound)) != 0) {
    Fail("bind " + address.ToString());
  }
  return fd;
}

inline int Listen(const Address& address) {
  const int fd = OpenSocket(SOCK_STREAM, address);
  if (listen(fd, 64) != 0) {
    Fail("listen " + address.ToString());
  }
  return fd;
}

// The platform's store, with one listener for each daemon, so that a daemon can
// be cut off from it.
class Store {
 public:
  explicit Store(Loop& loop) : loop_(loop) {}

  // Opens a listener for a daemon.
  void Serve(std::size_t daemon, const Address& address) {
    const int listener = Listen(address);
    loop_.Watch(listener, [this, daemon, listener] {
      const int fd =
          accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd >= 0) {
        connections_[fd] = {daemon, {}};
        loop_.Watch(fd, [this, fd] { OnReadable(fd); });
      }
    });
  }
  // While a daemon is cut off, nothing that it sends is read and nothing is
  // sent to it.
  void SetCut(std::size_t daemon, bool cut) {
    cut_[daemon] = cut;
    if (!cut) {
      // What was sent meanwhile was lost on the way, with its connection.
      std::vector<int> lost;
      for (const auto& [fd, connection] : connections_) {
        if (connection.daemon == daemon) {
          lost.push_back(fd);
        }
      }
      for (const int fd : lost) {
        Close(fd);
      }
    }
  }

  void Put(const std::string& kind,
           const std::string& name,
           const std::string& spec) {
    Object& object = objects_[kind][name];
    if (object.spec == spec) {
      return;
    }
    object.revision = ++revision_;
    object.created = object.created == 0 ? revision_ : object.created;
    object.spec = spec;
    AddEvent(kind, Encode(name, object), false);
  }
  void Delete(const std::string& kind, const std::string& name) {
    const auto object = objects_[kind].find(name);
    if (object != objects_[kind].end()) {
      object->second.revision = ++revision_;
      const std::string text = Encode(name, object->second);
      objects_[kind].erase(object);
      AddEvent(kind, text, true);
    }
  }

 private:
  struct Object {
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::string spec;
  };
  struct Event {
    std::uint64_t revision = 0;
    std::string kind;
    std::string text;
  };
  struct Connection {
    std::size_t daemon = 0;
    std::string received;
  };
  struct Watcher {
    int fd = -1;
    std::string kind;
    std::uint64_t after = 0;
    double deadline = 0;
  };

  static std::string Encode(const std::string& name, const Object& object) {
    return R"({"meta":{"name":")" + name + R"(","revision":)" +
           std::to_string(object.revision) + R"(,"created":)" +
           std::to_string(object.created) +
           R"(,"finalizers":[],"deleting":false},"spec":)" + object.spec +
           R"(,"status":null})";
  }
  void AddEvent(const std::string& kind, const std::string& object, bool gone) {
    events_.push_back({revision_, kind,
                       std::string(R"({"removed":)") +
                           (gone ? "true" : "false") + R"(,"object":)" +
                           object + "}"});
    AnswerWatchers();
  }

  void OnReadable(int fd) {
    Connection& connection = connections_[fd];
    char buffer[4096];
    if (cut_[connection.daemon]) {
      // Nothing arrives: what is read here counts as lost on the way.
      if (recv(fd, buffer, sizeof(buffer), 0) == 0) {
        Close(fd);
      }
      return;
    }
    const ssize_t count = recv(fd, buffer, sizeof(buffer), 0);
    if (count <= 0) {
      if (count == 0 || errno != EAGAIN) {
        Close(fd);
      }
      return;
    }
    connection.received.append(buffer, static_cast<std::size_t>(count));
    const std::size_t end = connection.received.find("\r\n\r\n");
    if (end != std::string::npos) {
      const std::string target =
          connection.received.substr(4, connection.received.find(' ', 4) - 4);
      connection.received.erase(0, end + 4);
      Answer(fd, target);
    }
  }
  void Close(int fd) {
    loop_.Unwatch(fd);
    connections_.erase(fd);
    std::erase_if(watchers_, [&](const Watcher& w) { return w.fd == fd; });
    close(fd);
  }

  static std::string Parameter(const std::string& target,
                               const std::string& name) {
    for (const char* before : {"?", "&"}) {
      const std::size_t at = target.find(before + name + "=");
      if (at != std::string::npos) {
        const std::size_t begin = at + name.size() + 2;
        return target.substr(begin, target.find('&', begin) - begin);
      }
    }
    return {};
  }
  void Answer(int fd, const std::string& target) {
    const std::string root = "/objects/";
    const std::string kind = target.substr(
        root.size(), target.find_first_of("?/", root.size()) - root.size());
    const std::string after = Parameter(target, "watch");
    if (!after.empty()) {
      const double wait = std::stod(Parameter(target, "wait_ms")) / 1000;
      watchers_.push_back({fd, kind, std::stoull(after), loop_.now() + wait});
      loop_.After(wait + 0.001, [this] { AnswerWatchers(); });
      AnswerWatchers();
      return;
    }
    std::string items;
    for (const auto& [name, object] : objects_[kind]) {
      items += (items.empty() ? "" : ",") + Encode(name, object);
    }
    Send(fd, R"({"items":[)" + items + R"(],"has_more":false,)" + Revision());
  }
  std::string Revision() const {
    return R"("store_revision":)" + std::to_string(revision_) + "}";
  }
  void AnswerWatchers() {
    std::vector<Watcher> waiting = std::exchange(watchers_, {});
    for (const Watcher& watcher : waiting) {
      std::string events;
      for (const Event& event : events_) {
        if (event.kind == watcher.kind && event.revision > watcher.after) {
          events += (events.empty() ? "" : ",") + event.text;
        }
      }
      if (events.empty() && loop_.now() < watcher.deadline) {
        watchers_.push_back(watcher);
        continue;
      }
      Send(watcher.fd, R"({"events":[)" + events + "]," + Revision());
    }
  }
  void Send(int fd, const std::string& body) {
    if (cut_[connections_[fd].daemon]) {
      return;
    }
    const std::string answer =
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        "Content-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body;
    (void)send(fd, answer.data(), answer.size(), MSG_NOSIGNAL);
  }

  Loop& loop_;
  std::uint64_t revision_ = 1;
  std::map<std::string, std::map<std::string, Object>> objects_;
  std::vector<Event> events_;
  std::map<int, Connection> connections_;
  std::vector<Watcher> watchers_;
  std::map<std::size_t, bool> cut_;
};

// A packet of a flow.
struct Packet {
  static constexpr std::size_t kHeadBytes = 34;
  static constexpr std::uint8_t kSyn = 128;
  static constexpr std::uint8_t kAck = 32;
  static constexpr std::uint8_t kFin = 16;
  static constexpr std::uint8_t kRst = 4;

  Address from;
  Address to;
  std::uint8_t flags = 0;
  std::uint32_t sequence = 0;
  std::uint32_t acknowledged = 0;
  std::uint32_t echo = 0;
  std::string data;

  bool has(std::uint8_t flag) const { return (flags & flag) != 0; }

  std::string Encode() const {
    std::string bytes;
    const auto add = [&](std::uint32_t value, int count) {
      for (int i = 0; i < count; ++i) {
        bytes.push_back(static_cast<char>(value >> (8 * i) & 255));
      }
    };
    add(from.ip, 4);
    add(to.ip, 4);
    add(from.port, 2);
    add(to.port, 2);
    add(static_cast<std::uint32_t>(data.size()), 2);
    add(flags, 1);
    add(0, 3);
    add(sequence, 4);
    add(acknowledged, 4);
    add(echo, 4);
    // The sum of an end host. The daemons cannot compute it, and send 0.
    add(0x5eed5eed, 4);
    return bytes + data;
  }
  // Precondition: `bytes` has at least kHeadBytes.
  static Packet Decode(const std::string& bytes) {
    const auto read = [&](std::size_t at, int count) {
      std::uint32_t value = 0;
      for (int i = count - 1; i >= 0; --i) {
        value = value << 8 | static_cast<std::uint8_t>(bytes[at + i]);
      }
      return value;
    };
    Packet packet;
    packet.from = {read(0, 4), static_cast<std::uint16_t>(read(8, 2))};
    packet.to = {read(4, 4), static_cast<std::uint16_t>(read(10, 2))};
    packet.flags = static_cast<std::uint8_t>(read(14, 1));
    packet.sequence = read(18, 4);
    packet.acknowledged = read(22, 4);
    packet.echo = read(26, 4);
    packet.data = bytes.substr(kHeadBytes);
    return packet;
  }
};

// A UDP socket that hands each datagram, with its sender, to a function.
class UdpPort {
 public:
  using OnDatagram = std::function<void(const std::string&, const Address&)>;

  UdpPort(Loop& loop, const Address& address, OnDatagram on_datagram)
      : loop_(loop),
        fd_(OpenSocket(SOCK_DGRAM, address)),
        on_datagram_(std::move(on_datagram)) {
    loop_.Watch(fd_, [this] { Receive(); });
  }
  ~UdpPort() {
    loop_.Unwatch(fd_);
    close(fd_);
  }
  UdpPort(const UdpPort&) = delete;
  UdpPort& operator=(const UdpPort&) = delete;

  void Send(const std::string& bytes, const Address& to) const {
    const sockaddr_in address = to.ToSockaddr();
    (void)sendto(fd_, bytes.data(), bytes.size(), 0,
                 reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  }

 private:
  void Receive() {
    char buffer[2048];
    sockaddr_in sender{};
    socklen_t length = sizeof(sender);
    ssize_t count = 0;
    while ((count = recvfrom(fd_, buffer, sizeof(buffer), 0,
                             reinterpret_cast<sockaddr*>(&sender), &length)) >=
           0) {
      on_datagram_(std::string(buffer, static_cast<std::size_t>(count)),
                   {ntohl(sender.sin_addr.s_addr), ntohs(sender.sin_port)});
    }
  }

  Loop& loop_;
  const int fd_;
  const OnDatagram on_datagram_;
};

using FlowKey = std::pair<std::uint32_t, std::uint16_t>;  // Of the caller.

// A backend server: the flows it holds, its listener for health checks, and its
// entry in the store.
class Server {
 public:
  struct Options {
    std::string id;  // "i-" and hex digits.
    std::string service;
    std::string zone;
    Address address;
    std::uint16_t datagram_port = 0;
    double heartbeat = 0.77;
    double warmup = 0;  // Seconds for which it is cold after each start.
  };
  // `daemon` sent the first packet of a flow.
  using OnOpening = std::function<void(const Packet&, const Address& daemon)>;

  Server(Loop& loop, Store& store, Record& record, Options options)
      : loop_(loop),
        store_(store),
        record_(record),
        options_(std::move(options)),
        number_(std::stoull(options_.id.substr(options_.id.rfind('-') + 1),
                            nullptr,
                            16)) {}
  ~Server() { Crash(); }

  // Starts a new boot, which registers at once.
  void Start() {
    ++boot_;
    up_ = true;
    draining_ = false;
    sequence_ = 0;
    born_ = UnixMillis();
    started_at_ = loop_.now();
    cold_until_ = options_.warmup > 0 ? loop_.now() + options_.warmup : 0;
    flows_.clear();
    port_ = std::make_unique<UdpPort>(
        loop_, options_.address,
        [this](const std::string& bytes, const Address& daemon) {
          OnDatagram(bytes, daemon);
        });
    listener_ = Listen(options_.address);
    loop_.Watch(listener_, [this] { AnswerHealthCheck(); });
    record_.Write("server %s starts, born %lld", options_.id.c_str(),
                  static_cast<long long>(born_));
    Beat(boot_);
  }
  // Ends the present boot without a word.
  void Crash() {
    if (up_) {
      record_.Write("server %s ends", options_.id.c_str());
      up_ = false;
      loop_.Unwatch(listener_);
      close(listener_);
      port_.reset();
      flows_.clear();
    }
  }
  void Drain() {
    draining_ = true;
    Report();
  }
  // Becomes cold now; the next heartbeat reports it.
  void BecomeCold(double seconds) {
    cold_until_ = loop_.now() + seconds;
    record_.Write("server %s is cold for %.1f s", options_.id.c_str(), seconds);
  }
  // While unreported, the server's heartbeats do not reach the store.
  void set_reporting(bool reporting) { reporting_ = reporting; }
  // Any packet but the first one of a flow has reached the server.
  void set_on_packet(std::function<void(const Packet&)> on_packet) {
    on_packet_ = std::move(on_packet);
  }
  void set_on_opening(OnOpening on_opening) {
    on_opening_ = std::move(on_opening);
  }

  bool up() const { return up_; }
  bool cold() const { return up_ && loop_.now() < cold_until_; }
  double started_at() const { return started_at_; }
  double next_heartbeat() const { return next_heartbeat_; }
  const std::string& id() const { return options_.id; }
  // Whether the caller has acknowledged the server's first packet.
  bool HoldsOpen(const FlowKey& flow) const {
    const auto it = flows_.find(flow);
    return it != flows_.end() && it->second.open;
  }
  // The entry that the server would write now.
  std::string Entry() {
    const double left = std::max(0.0, cold_until_ - loop_.now());
    return R"({"service":")" + options_.service + R"(","address":")" +
           options_.address.ToString() + R"(","zone":")" + options_.zone +
           R"(","version":"v1","capacity":3,"state":")" +
           (draining_ ? "draining" : "ready") + R"(","warmup_left_ms":)" +
           std::to_string(static_cast<int>(left * 1000)) + R"(,"sequence":)" +
           std::to_string(++sequence_) + R"(,"born":)" + std::to_string(born_) +
           "}";
  }

 private:
  struct Flow {
    bool open = false;
    std::uint32_t sequence = 0;  // Of the next byte to the caller.
    std::uint32_t expected = 0;  // Of the next byte from the caller.
    std::string last_answer;
    std::uint32_t last_answer_sequence = 0;
  };

  void Beat(int boot) {
    if (!up_ || boot != boot_) {
      return;
    }
    Report();
    next_heartbeat_ = loop_.now() + options_.heartbeat;
    loop_.At(next_heartbeat_, [this, boot] { Beat(boot); });
  }
  void Report() {
    if (reporting_) {
      store_.Put("servers", options_.id, Entry());
    }
  }
  void AnswerHealthCheck() const {
    const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd >= 0) {
      close(fd);
    }
  }

  void OnDatagram(const std::string& bytes, const Address& daemon) {
    constexpr std::size_t kPrefixBytes = 8;
    if (bytes.size() < kPrefixBytes + Packet::kHeadBytes) {
      return;
    }
    std::uint64_t number = 0;
    for (std::size_t i = 0; i < kPrefixBytes; ++i) {
      number = number << 8 | static_cast<std::uint8_t>(bytes[i]);
    }
    if (number != 0 && number != number_) {
      return;  // Not the intended server.
    }
    OnPacket(Packet::Decode(bytes.substr(kPrefixBytes)), daemon);
  }
  void OnPacket(const Packet& packet, const Address& daemon) {
    const FlowKey key{packet.from.ip, packet.from.port};
    if (packet.has(Packet::kSyn)) {
      Flow& flow = flows_[key];
      if (flow.sequence == 0) {
        flow.sequence = static_cast<std::uint32_t>(std::rand()) | 1;
        flow.expected = packet.sequence + 1;
        record_.Write("server %s takes the first packet of flow %u through %s",
                      options_.id.c_str(), packet.from.port,
                      daemon.ToString().c_str());
        if (on_opening_) {
          on_opening_(packet, daemon);
        }
      }
      SendSynAck(packet, flow.sequence, 0.2, 0);
      return;
    }
    if (on_packet_) {
      on_packet_(packet);
    }
    const auto it = flows_.find(key);
    if (it == flows_.end()) {
      if (!packet.has(Packet::kRst)) {
        record_.Write("server %s resets the unknown flow %u",
                      options_.id.c_str(), packet.from.port);
        Flow none;
        none.expected = packet.sequence;
        Reply(packet, Packet::kRst, packet.acknowledged, none, "");
      }
      return;
    }
    Flow& flow = it->second;
    if (packet.has(Packet::kRst)) {
      flows_.erase(it);
      return;
    }
    if (!flow.open && packet.acknowledged == flow.sequence + 1) {
      flow.open = true;
      ++flow.sequence;
    }
    if (!flow.open) {
      return;  // It acknowledges another server's first packet.
    }
    if (!packet.data.empty()) {
      OnRequest(packet, flow);
    }
    if (packet.has(Packet::kFin)) {
      Reply(packet, Packet::kFin | Packet::kAck, flow.sequence, flow, "");
      flows_.erase(it);
    }
  }
  // Repeats the answer to `syn` after `delay`, which doubles up to 1.6 s, until
  // the caller acknowledges it, 8 times at most.
  void SendSynAck(const Packet& syn,
                  std::uint32_t sequence,
                  double delay,
                  int repeats) {
    constexpr int kMaxRepeats = 8;
    const auto it = flows_.find({syn.from.ip, syn.from.port});
    if (!up_ || it == flows_.end() || it->second.open ||
        it->second.sequence != sequence) {
      return;
    }
    if (repeats > kMaxRepeats) {
      flows_.erase(it);
      return;
    }
    Reply(syn, Packet::kSyn | Packet::kAck, sequence, it->second, "");
    loop_.After(delay, [this, syn, sequence, delay, repeats] {
      SendSynAck(syn, sequence, std::min(2 * delay, 1.6), repeats + 1);
    });
  }
  void OnRequest(const Packet& packet, Flow& flow) {
    if (packet.sequence != flow.expected) {
      // A repeated request gets its answer again.
      Reply(packet, Packet::kAck, flow.last_answer_sequence, flow,
            flow.last_answer);
      return;
    }
    record_.Write("server %s runs %s of flow %u", options_.id.c_str(),
                  packet.data.c_str(), packet.from.port);
    flow.expected += static_cast<std::uint32_t>(packet.data.size());
    flow.last_answer = "answer to " + packet.data;
    flow.last_answer_sequence = flow.sequence;
    Reply(packet, Packet::kAck, flow.sequence, flow, flow.last_answer);
    flow.sequence += static_cast<std::uint32_t>(flow.last_answer.size());
  }
  // Sends a packet straight to the caller of `to`.
  void Reply(const Packet& to,
             std::uint8_t flags,
             std::uint32_t sequence,
             const Flow& flow,
             const std::string& data) const {
    Packet packet;
    packet.from = to.to;
    packet.to = to.from;
    packet.flags = flags;
    packet.sequence = sequence;
    packet.acknowledged = flow.expected;
    packet.echo = to.echo;
    packet.data = data;
    port_->Send(packet.Encode(), {to.from.ip, options_.datagram_port});
  }

  Loop& loop_;
  Store& store_;
  Record& record_;
  const Options options_;
  const std::uint64_t number_;
  OnOpening on_opening_;
  std::function<void(const Packet&)> on_packet_;
  int boot_ = 0;
  bool up_ = false;
  bool draining_ = false;
  bool reporting_ = true;
  std::uint64_t sequence_ = 0;
  std::int64_t born_ = 0;
  double started_at_ = 0;
  double cold_until_ = 0;
  double next_heartbeat_ = 0;
  int listener_ = -1;
  std::unique_ptr<UdpPort> port_;
  std::map<FlowKey, Flow> flows_;
};

// The daemons as processes, and the routers in front of them.
class Fleet {
 public:
  struct Daemon {
    std::string zone;
    std::uint32_t ip = 0;
    std::string settings;  // The path of the file.
    std::string log;
    pid_t pid = -1;
    bool stopped = false;
    bool ready = false;
    int misses = 0;
  };
  struct Options {
    std::string program = "target/bin/gcw-direct";
    std::string folder;  // For settings files and logs.
    std::uint16_t datagram_port = 0;
    std::uint16_t ready_port = 0;
    std::uint16_t control_port = 0;
    std::uint16_t metrics_port = 0;
    std::uint16_t members_port = 0;
    std::uint16_t store_port = 0;
    std::uint32_t store_ip = 0;  // The listener of daemon 0; others follow.
  };

  Fleet(Loop& loop, Store& store, Record& record, Options options)
      : loop_(loop),
        store_(store),
        record_(record),
        options_(std::move(options)) {}
  ~Fleet() {
    for (Daemon& daemon : daemons_) {
      if (daemon.pid > 0) {
        kill(daemon.pid, SIGCONT);
        kill(daemon.pid, SIGKILL);
        waitpid(daemon.pid, nullptr, 0);
      }
    }
  }
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Adds a daemon, which Start() starts, and its listener at the store.
  std::size_t Add(const std::string& name,
                  const std::string& zone,
                  std::uint32_t ip,
                  const std::vector<std::uint32_t>& seeds) {
    const std::size_t index = daemons_.size();
    Daemon daemon;
    daemon.zone = zone;
    daemon.ip = ip;
    daemon.settings = options_.folder + "/" + name + ".json";
    daemon.log = options_.folder + "/" + name + ".log";
    daemons_.push_back(daemon);
    names_.push_back(name);
    store_.Serve(index, StoreAddress(index));
    WriteSettings(index, seeds);
    return index;
  }
  // Writes the settings file as the template of the deploy file does.
  void WriteSettings(std::size_t index,
                     const std::vector<std::uint32_t>& seeds) const {
    const Daemon& daemon = daemons_[index];
    std::string list;
    for (const std::uint32_t seed : seeds) {
      list += (list.empty() ? "\"" : ",\"") +
              Address{seed, options_.control_port}.ToString() + "\"";
    }
    const auto address = [&](std::uint16_t port) {
      return "\"" + Address{daemon.ip, port}.ToString() + "\"";
    };
    const std::string text =
        "{\n  \"name\": \"" + names_[index] + "\",\n  \"zone\": \"" +
        daemon.zone + "\",\n  \"packets\": " + address(options_.datagram_port) +
        ",\n  \"ready\": " + address(options_.ready_port) +
        ",\n  \"metrics_port\": " + std::to_string(options_.metrics_port) +
        ",\n  \"members_port\": " + std::to_string(options_.members_port) +
        ",\n  \"seeds\": [" + list + "],\n  \"platform\": \"" +
        StoreAddress(index).ToString() +
        "\",\n  \"max_flow_s\": 60,\n  \"stop_limit_s\": 6,\n"
        "  \"configuration_deadline_ms\": 3000,\n"
        "  \"servers_deadline_ms\": 3000,\n"
        "  \"zones_deadline_ms\": 5000,\n  \"log_level\": \"info\"\n}\n";
    std::FILE* file = std::fopen(daemon.settings.c_str(), "w");
    if (file == nullptr ||
        std::fwrite(text.data(), 1, text.size(), file) != text.size() ||
        std::fclose(file) != 0) {
      Fail("write " + daemon.settings);
    }
  }
  void Start(std::size_t index) {
    Daemon& daemon = daemons_[index];
    record_.Write("daemon %s starts", names_[index].c_str());
    daemon.pid = fork();
    if (daemon.pid < 0) {
      Fail("fork");
    }
    if (daemon.pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int log =
          open(daemon.log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
      dup2(log, STDOUT_FILENO);
      dup2(log, STDERR_FILENO);
      execl(options_.program.c_str(), options_.program.c_str(), "--settings",
            daemon.settings.c_str(), nullptr);
      _exit(127);
    }
    if (!polling_) {
      polling_ = true;
      PollReady();
    }
  }
  void Signal(std::size_t index, int signal, const char* name) const {
    record_.Write("daemon %s gets %s", names_[index].c_str(), name);
    kill(daemons_[index].pid, signal);
  }
  // Stops a daemon with SIGTERM, as the platform does, and starts it again when
  // it has ended.
  void Roll(std::size_t index) {
    Signal(index, SIGTERM, "TERM");
    AwaitEnd(index);
  }
  // Ends the case if a daemon has ended by itself.
  void CheckRunning() const {
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
      if (daemons_[i].pid > 0 &&
          waitpid(daemons_[i].pid, nullptr, WNOHANG) != 0) {
        Fail("daemon " + names_[i] + " has ended");
      }
    }
  }

  bool ready(std::size_t index) const { return daemons_[index].ready; }
  // Where a router sends the packets of a flow of `zone`: the zone's ready
  // daemons, else those of other zones. Returns no address if none is ready.
  Address Route(const std::string& zone, std::uint16_t flow) const {
    for (const bool own_zone : {true, false}) {
      std::vector<std::uint32_t> ready;
      for (const Daemon& daemon : daemons_) {
        if (daemon.ready && (!own_zone || daemon.zone == zone)) {
          ready.push_back(daemon.ip);
        }
      }
      if (!ready.empty()) {
        return {ready[flow % ready.size()], options_.datagram_port};
      }
    }
    return {};
  }
  const std::string& name(std::size_t index) const { return names_[index]; }
  bool IsDaemon(const Address& packets) const {
    return std::any_of(daemons_.begin(), daemons_.end(),
                       [&](const Daemon& d) { return d.ip == packets.ip; });
  }
  std::string NameOf(const Address& packets) const {
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
      if (daemons_[i].ip == packets.ip) {
        return names_[i];
      }
    }
    return packets.ToString();
  }

 private:
  void AwaitEnd(std::size_t index) {
    if (waitpid(daemons_[index].pid, nullptr, WNOHANG) == 0) {
      loop_.After(0.05, [this, index] { AwaitEnd(index); });
      return;
    }
    record_.Write("daemon %s has ended", names_[index].c_str());
    daemons_[index].pid = -1;
    loop_.After(0.5, [this, index] { Start(index); });
  }
  Address StoreAddress(std::size_t index) const {
    return {options_.store_ip + static_cast<std::uint32_t>(index),
            options_.store_port};
  }
  // Asks each daemon twice a second whether it is ready. After two misses a
  // daemon is out of rotation.
  void PollReady() {
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
      if (daemons_[i].pid > 0) {
        Poll(i);
      }
    }
    loop_.After(0.5, [this] { PollReady(); });
  }
  void Poll(std::size_t index) {
    constexpr double kAnswerTime = 0.3;
    const int fd =
        socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in to =
        Address{daemons_[index].ip, options_.ready_port}.ToSockaddr();
    (void)connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to));
    loop_.After(0.02, [fd] {
      const std::string request = "GET /ready HTTP/1.1\r\nHost: d\r\n\r\n";
      (void)send(fd, request.data(), request.size(), MSG_NOSIGNAL);
    });
    loop_.After(kAnswerTime, [this, fd, index] {
      char buffer[256] = {};
      const ssize_t count = recv(fd, buffer, sizeof(buffer) - 1, 0);
      close(fd);
      const bool ready =
          count > 0 && std::string(buffer).find(" 200 ") != std::string::npos;
      OnPolled(index, ready);
    });
  }
  void OnPolled(std::size_t index, bool ready) {
    Daemon& daemon = daemons_[index];
    daemon.misses = ready ? 0 : daemon.misses + 1;
    const bool now_ready = ready || (daemon.ready && daemon.misses < 2);
    if (now_ready != daemon.ready) {
      daemon.ready = now_ready;
      record_.Write("routers: daemon %s is %s rotation", names_[index].c_str(),
                    now_ready ? "in" : "out of");
    }
  }

  Loop& loop_;
  Store& store_;
  Record& record_;
  const Options options_;
  bool polling_ = false;
  std::vector<Daemon> daemons_;
  std::vector<std::string> names_;
};

// The callers of one zone. Each flow has a port of its own and is used for one
// request or, with pauses, for many.
class Callers {
 public:
  struct Options {
    std::string zone;
    std::uint32_t ip = 0;
    std::uint16_t datagram_port = 0;
    Address route;
    std::uint16_t first_port = 1024;
  };
  struct Flow {
    std::uint16_t port = 0;
    bool open = false;
    bool ended = false;
    int requests_left = 0;
    double pause = 0;
    double opened_at = 0;
    double sent_at = 0;  // When the SYN was sent.
    std::uint32_t sequence = 0;
    std::uint32_t acknowledged = 0;
    std::uint32_t echo = 0;
    std::string request;  // Waits for its answer.
    int request_count = 0;
  };
  // A reset that no server has sent reached the caller.
  using OnReset = std::function<void(const Flow&)>;

  Callers(Loop& loop, Record& record, const Fleet& fleet, Options options)
      : loop_(loop),
        record_(record),
        fleet_(fleet),
        options_(std::move(options)),
        next_port_(options_.first_port),
        port_(loop,
              {options_.ip, options_.datagram_port},
              [this](const std::string& bytes, const Address& from) {
                if (bytes.size() >= Packet::kHeadBytes) {
                  OnPacket(Packet::Decode(bytes), from);
                }
              }) {}

  void set_on_reset(OnReset on_reset) { on_reset_ = std::move(on_reset); }
  // The share of the packets to the callers that the link loses.
  void set_loss(double loss) { loss_ = loss; }
  FlowKey KeyOf(const Flow& flow) const { return {options_.ip, flow.port}; }

  // Opens a flow for this many requests, with pauses between them.
  void Open(int requests, double pause) {
    Flow& flow = flows_[next_port_];
    flow.port = next_port_++;
    flow.requests_left = requests;
    flow.pause = pause;
    flow.sequence = static_cast<std::uint32_t>(std::rand());
    flow.sent_at = loop_.now();
    SendSyn(flow.port, 0);
  }
  const Flow* Find(std::uint16_t port) const {
    const auto it = flows_.find(port);
    return it == flows_.end() ? nullptr : &it->second;
  }

 private:
  Flow* Live(std::uint16_t port) {
    const auto it = flows_.find(port);
    return it == flows_.end() || it->second.ended ? nullptr : &it->second;
  }
  void Send(const Flow& flow,
            std::uint8_t flags,
            std::uint32_t acknowledged,
            const std::string& data) {
    Packet packet;
    packet.from = {options_.ip, flow.port};
    packet.to = options_.route;
    packet.flags = flags;
    packet.sequence = flow.sequence;
    packet.acknowledged = acknowledged;
    packet.echo = flow.echo;
    packet.data = data;
    const Address daemon = fleet_.Route(options_.zone, flow.port);
    if (daemon.port != 0) {
      port_.Send(packet.Encode(), daemon);
    }
  }
  // `copy` is the number of the SYN's copy; the attempt ends 1.4 s after the
  // first one.
  void SendSyn(std::uint16_t port, std::uint32_t copy) {
    Flow* flow = Live(port);
    if (flow == nullptr || flow->open) {
      return;
    }
    constexpr double kCopyTimes[] = {0.2, 0.4, 0.8};
    if (copy > 2) {
      End(*flow, "no answer to its first packet");
      return;
    }
    Send(*flow, Packet::kSyn, copy, "");
    loop_.After(kCopyTimes[copy],
                [this, port, copy] { SendSyn(port, copy + 1); });
  }
  void SendRequest(std::uint16_t port) {
    Flow* flow = Live(port);
    if (flow == nullptr) {
      return;
    }
    flow->request = "request-" + std::to_string(options_.ip & 255) + "-" +
                    std::to_string(port) + "-" +
                    std::to_string(flow->request_count++);
    record_.Write("caller sends %s on flow %u", flow->request.c_str(), port);
    Transmit(port, flow->request, 0.2);
  }
  void Transmit(std::uint16_t port, const std::string& request, double delay) {
    Flow* flow = Live(port);
    if (flow == nullptr || flow->request != request) {
      return;
    }
    Send(*flow, Packet::kAck, flow->acknowledged, request);
    loop_.After(delay, [this, port, request, delay] {
      Transmit(port, request, std::min(2 * delay, 1.6));
    });
  }
  void End(Flow& flow, const char* why) {
    record_.Write("caller ends flow %u: %s", flow.port, why);
    flow.ended = true;
  }

  void OnPacket(const Packet& packet, const Address& from) {
    Flow* flow = Live(packet.to.port);
    if (flow == nullptr || std::rand() < loss_ * RAND_MAX) {
      return;
    }
    if (packet.has(Packet::kRst)) {
      const bool of_system = fleet_.IsDaemon(from);
      if (of_system && on_reset_) {
        on_reset_(*flow);
      }
      End(*flow, of_system ? "reset by a daemon" : "reset by a server");
      return;
    }
    flow->echo = packet.echo;  // The last one received on the flow.
    if (packet.has(Packet::kSyn)) {
      if (!flow->open) {
        flow->open = true;
        flow->opened_at = loop_.now();
        ++flow->sequence;
        flow->acknowledged = packet.sequence + 1;
        Send(*flow, Packet::kAck, flow->acknowledged, "");
        SendRequest(flow->port);
      }
      return;
    }
    if (!packet.data.empty() && packet.data == "answer to " + flow->request) {
      OnAnswer(packet, *flow);
    }
  }
  void OnAnswer(const Packet& packet, Flow& flow) {
    record_.Write("caller gets %s", packet.data.c_str());
    flow.sequence += static_cast<std::uint32_t>(flow.request.size());
    flow.acknowledged =
        packet.sequence + static_cast<std::uint32_t>(packet.data.size());
    flow.request.clear();
    --flow.requests_left;
    const bool last = flow.requests_left == 0;
    Send(flow, last ? Packet::kFin | Packet::kAck : Packet::kAck,
         flow.acknowledged, "");
    if (last) {
      flow.ended = true;
      return;
    }
    loop_.After(flow.pause, [this, port = flow.port] { SendRequest(port); });
  }

  Loop& loop_;
  Record& record_;
  const Fleet& fleet_;
  const Options options_;
  OnReset on_reset_;
  double loss_ = 0;
  std::uint16_t next_port_;
  std::map<std::uint16_t, Flow> flows_;
  UdpPort port_;
};

// The first of 20 ports that are free at `ip`, below the ports that the kernel
// hands out. Runs at the same time begin their search at different ports.
inline std::uint16_t FreePort(std::uint32_t ip) {
  constexpr int kFirst = 16'000;
  constexpr int kBlocks = 200;
  constexpr int kBlock = 20;
  for (int i = 0; i < kBlocks; ++i) {
    const int block = (getpid() + i) % kBlocks;
    const auto port = static_cast<std::uint16_t>(kFirst + block * kBlock);
    const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = Address{ip, port}.ToSockaddr();
    const bool free = bind(fd, reinterpret_cast<const sockaddr*>(&address),
                           sizeof(address)) == 0;
    close(fd);
    if (free) {
      return port;
    }
  }
  Fail("no free port");
}

}  // namespace review2

#endif  // REVIEW_STAND_INS_2_WORLD_H_
