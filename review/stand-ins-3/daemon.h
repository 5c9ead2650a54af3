#ifndef REVIEW_STAND_INS_3_DAEMON_H_
#define REVIEW_STAND_INS_3_DAEMON_H_

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "review/stand-ins-3/loop.h"
#include "review/stand-ins-3/net.h"
#include "review/stand-ins-3/record.h"

namespace review3 {

// The ports of all daemons of a case.
struct Ports {
  std::uint16_t packets = 0;
  std::uint16_t ready = 0;
  std::uint16_t control = 0;
  std::uint16_t metrics = 0;
  std::uint16_t members = 0;
};

// One machine with one gcw-direct process, started with the command of the
// deploy file and settings like those that its template makes.
class Daemon {
 public:
  Daemon(Loop& loop,
         Record& record,
         const std::string& folder,
         const std::string& name,
         const std::string& zone,
         std::uint32_t ip,
         const Ports& ports,
         const Address& platform)
      : loop_(loop),
        record_(record),
        folder_(folder),
        name_(name),
        zone_(zone),
        ip_(ip),
        ports_(ports),
        platform_(platform) {}
  ~Daemon() { Kill(); }
  Daemon(const Daemon&) = delete;

  const std::string& name() const { return name_; }
  const std::string& zone() const { return zone_; }
  Address packets() const { return {ip_, ports_.packets}; }
  Address ready_address() const { return {ip_, ports_.ready}; }
  Address control() const { return {ip_, ports_.control}; }
  bool running() const { return pid_ > 0; }
  bool crashed() const { return crashed_; }

  // Whether the machine is in touch as to its processes: they have run since
  // `window` seconds ago without a start, a stop or a signal.
  bool Calm(double window) const {
    return running() && loop_.now() - disturbed_at_ >= window;
  }

  void WriteSettings(const std::vector<Address>& seeds) const {
    nlohmann::json settings = {{"name", name_},
                               {"zone", zone_},
                               {"packets", Text(packets())},
                               {"ready", Text(ready_address())},
                               {"metrics_port", ports_.metrics},
                               {"members_port", ports_.members},
                               {"platform", Text(platform_)},
                               {"max_flow_s", 60},
                               {"stop_limit_s", 6},
                               {"configuration_deadline_ms", 3000},
                               {"servers_deadline_ms", 3000},
                               {"zones_deadline_ms", 5000},
                               {"report_interval_ms", 1200},
                               {"log_level", "info"}};
    settings["seeds"] = nlohmann::json::array();
    for (const Address& seed : seeds) {
      settings["seeds"].push_back(Text(seed));
    }
    std::ofstream(SettingsPath()) << settings.dump(2) << "\n";
  }

  void Start() {
    disturbed_at_ = loop_.now();
    record_.Say("daemon " + name_ + " starts");
    const std::string settings = SettingsPath();
    const std::string log = folder_ + "/" + name_ + ".log";
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    pid_ = fork();
    if (pid_ == 0) {
      // Ends with the case, also if that is killed.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      dup2(out, 1);
      dup2(out, 2);
      execl("target/bin/gcw-direct", "target/bin/gcw-direct", "--settings",
            settings.c_str(), nullptr);
      _exit(127);
    }
    close(out);
  }

  // Stops the process as the platform does for planned work: SIGTERM, and
  // SIGKILL after 6 s. Calls `done` when the process has ended.
  void Stop(std::function<void()> done) {
    disturbed_at_ = loop_.now();
    record_.Say("daemon " + name_ + " gets SIGTERM");
    expected_end_ = true;
    kill(pid_, SIGTERM);
    done_ = std::move(done);
    kill_at_ = loop_.now() + 6.0;
    PollEnd();
  }

  // Ends the process at once.
  void Kill() {
    if (pid_ <= 0) {
      return;
    }
    disturbed_at_ = loop_.now();
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }

  // Tells the process that its settings file has changed.
  void Reload() const { kill(pid_, SIGHUP); }

  // Notes an end that nothing has caused.
  void CheckAlive() {
    int status = 0;
    if (pid_ > 0 && !expected_end_ && waitpid(pid_, &status, WNOHANG) == pid_) {
      pid_ = -1;
      crashed_ = true;
      record_.Say("daemon " + name_ + " ended by itself, status " +
                  std::to_string(status));
    }
  }

 private:
  std::string SettingsPath() const { return folder_ + "/" + name_ + ".json"; }

  void PollEnd() {
    if (waitpid(pid_, nullptr, WNOHANG) == pid_) {
      pid_ = -1;
      expected_end_ = false;
      disturbed_at_ = loop_.now();
      record_.Say("daemon " + name_ + " has ended");
      done_();
      return;
    }
    if (loop_.now() >= kill_at_) {
      kill(pid_, SIGKILL);
    }
    loop_.After(0.02, [this] { PollEnd(); });
  }

  Loop& loop_;
  Record& record_;
  const std::string folder_;
  const std::string name_;
  const std::string zone_;
  const std::uint32_t ip_;
  const Ports ports_;
  const Address platform_;
  pid_t pid_ = -1;
  bool expected_end_ = false;
  bool crashed_ = false;
  double disturbed_at_ = 0;
  double kill_at_ = 0;
  std::function<void()> done_;
};

// The platform's routers: readiness checks twice a second, and the choice of a
// daemon in the consumer's zone by a hash of the flow ("steady").
class Router {
 public:
  Router(Loop& loop, Record& record, std::uint32_t ip)
      : loop_(loop), record_(record), ip_(ip) {
    socket_ = OpenSocket(SOCK_DGRAM, {ip, 0});
  }
  ~Router() { close(socket_); }

  void Add(Daemon& daemon) {
    states_.push_back({&daemon});
    loop_.After(0.05, [this, index = states_.size() - 1] { Check(index); });
  }
  bool InRotation(const Daemon& daemon) const {
    for (const State& state : states_) {
      if (state.daemon == &daemon) {
        return state.in;
      }
    }
    return false;
  }
  // A machine that was removed for good.
  void Forget(const Daemon& daemon) {
    for (State& state : states_) {
      if (state.daemon == &daemon) {
        state.removed = true;
        state.in = false;
      }
    }
  }

  // Sends a packet of a consumer in `zone` to a daemon and returns it.
  const Daemon* Send(const std::string& zone,
                     const std::string& flow,
                     const std::string& bytes) {
    const State* best = Choose(
        flow, [&](const State& s) { return s.in && s.daemon->zone() == zone; });
    if (best == nullptr) {
      best = Choose(flow, [&](const State& s) { return s.in; });
    }
    if (best == nullptr) {
      return nullptr;
    }
    SendDatagram(socket_, best->daemon->packets(), bytes);
    return best->daemon;
  }

 private:
  struct State {
    Daemon* daemon = nullptr;
    bool in = false;
    bool removed = false;
    int misses = 0;
  };

  template <typename Filter>
  const State* Choose(const std::string& flow, const Filter& filter) const {
    const State* best = nullptr;
    std::size_t best_hash = 0;
    for (const State& state : states_) {
      const std::size_t hash =
          std::hash<std::string>{}(flow + "/" + state.daemon->name());
      if (filter(state) && (best == nullptr || hash > best_hash)) {
        best = &state;
        best_hash = hash;
      }
    }
    return best;
  }

  // Sends GET /ready and looks at the answer 0.4 s later.
  void Check(std::size_t index) {
    const State& state = states_[index];
    if (state.removed) {
      return;
    }
    loop_.After(0.5, [this, index] { Check(index); });
    const int fd = OpenSocket(SOCK_STREAM, {ip_, 0});
    if (fd < 0) {
      return;
    }
    const sockaddr_in to = ToSockaddr(state.daemon->ready_address());
    (void)connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to));
    loop_.After(0.02, [fd] {
      const std::string request =
          "GET /ready HTTP/1.1\r\nHost: daemon\r\nConnection: close\r\n\r\n";
      (void)send(fd, request.data(), request.size(), MSG_NOSIGNAL);
    });
    loop_.After(0.4, [this, fd, index] {
      char buffer[1024];
      const ssize_t count = recv(fd, buffer, sizeof(buffer), 0);
      close(fd);
      const std::string answer(buffer, count > 0 ? count : 0);
      OnChecked(states_[index], answer.rfind("HTTP/1.1 200", 0) == 0);
    });
  }

  void OnChecked(State& state, bool ready) {
    if (state.removed) {
      return;
    }
    state.misses = ready ? 0 : state.misses + 1;
    const bool in = ready || (state.in && state.misses < 2);
    if (in != state.in) {
      state.in = in;
      record_.Say("router: " + state.daemon->name() +
                  (in ? " is in rotation" : " is out of rotation"));
    }
  }

  Loop& loop_;
  Record& record_;
  const std::uint32_t ip_;
  int socket_ = -1;
  std::vector<State> states_;
};

}  // namespace review3

#endif  // REVIEW_STAND_INS_3_DAEMON_H_
