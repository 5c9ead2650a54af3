#ifndef GCW_REVIEW_PLATFORM_H_
#define GCW_REVIEW_PLATFORM_H_

#include <fcntl.h>
#include <httplib.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "loop.h"
#include "net.h"

namespace review {

inline constexpr char kProgram[] = "target/bin/gcw-direct";
// The platform starts a process that has ended after this delay.
inline constexpr double kRestartDelay = 1.0;

struct MachineOptions {
  std::string name;
  std::string zone;
  std::uint32_t ip = 0;
  std::uint16_t packets_port = 0;
  std::uint16_t ready_port = 0;
  std::uint16_t metrics_port = 0;
  std::uint16_t members_port = 0;
  // The template's lines for bounds, each with a comma at its end.
  std::string bounds = "\"max_flow_s\": 60, \"stop_limit_s\": 6,";
  std::vector<Address> seeds;
  Address platform;
  std::string folder;  // For the settings and the logs.
};

// One machine: the users' process of the role, and the platform's part of it
// (start, restart, signals, readiness checks).
class Machine {
 public:
  Machine(Loop& loop, Record& record, MachineOptions options)
      : loop_(loop), record_(record), o_(std::move(options)) {}
  ~Machine() { End(); }
  Machine(const Machine&) = delete;
  Machine& operator=(const Machine&) = delete;

  // Starts the process, and again whenever it ends, until End().
  void Start() {
    WriteSettings();
    Spawn();
    checking_ = true;
    checker_ = std::thread([this] { CheckReadiness(); });
    Poll();
  }

  void Signal(int signal) {
    if (pid_ > 0) {
      expected_end_ = signal == SIGTERM || signal == SIGKILL;
      record_.Say("machine %s gets signal %d", o_.name.c_str(), signal);
      kill(pid_, signal);
      if (signal == SIGTERM) {
        loop_.After(6.0, [this, pid = pid_] {
          if (pid_ == pid) {
            record_.Write("machine %s: SIGKILL after the grace time",
                          o_.name.c_str());
            kill(pid, SIGKILL);
          }
        });
      }
    }
  }

  // The machine is lost: its process ends at once and is not started again
  // until Return().
  void Lose() {
    lost_ = true;
    Signal(SIGKILL);
  }
  void Return() {
    lost_ = false;
    if (pid_ <= 0 && !ending_) {
      Spawn();
    }
  }

  void End() {
    ending_ = true;
    checking_ = false;
    if (checker_.joinable()) {
      checker_.join();
    }
    if (pid_ > 0) {
      kill(pid_, SIGCONT);
      kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
      pid_ = -1;
    }
  }

  void set_bounds(const std::string& bounds) {
    o_.bounds = bounds;
    WriteSettings();
  }
  bool in_rotation() const { return in_rotation_.load(); }
  // How often the process ended by itself, without a signal of the test.
  int self_ends() const { return self_ends_; }
  // Whether a process ever answered a readiness check with 200.
  bool was_ready() const { return was_ready_.load(); }
  const MachineOptions& options() const { return o_; }

 private:
  void WriteSettings() const {
    std::string seeds;
    for (const Address& seed : o_.seeds) {
      seeds += (seeds.empty() ? "\"" : ",\"") + Text(seed) + "\"";
    }
    FILE* file = fopen(SettingsPath().c_str(), "w");
    fprintf(file,
            "{\n  \"name\": \"%s\",\n  \"zone\": \"%s\",\n"
            "  \"packets\": \"%s\",\n  \"ready\": \"%s\",\n"
            "  \"metrics_port\": %d,\n  \"members_port\": %d,\n"
            "  \"seeds\": [%s],\n  \"platform\": \"%s\",\n  %s\n"
            "  \"log_level\": \"info\"\n}\n",
            o_.name.c_str(), o_.zone.c_str(),
            Text({o_.ip, o_.packets_port}).c_str(),
            Text({o_.ip, o_.ready_port}).c_str(), o_.metrics_port,
            o_.members_port, seeds.c_str(), Text(o_.platform).c_str(),
            o_.bounds.c_str());
    fclose(file);
  }

  std::string SettingsPath() const {
    return o_.folder + "/" + o_.name + ".conf";
  }

  void Spawn() {
    const std::string settings = SettingsPath();
    const std::string log = o_.folder + "/" + o_.name + ".log";
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(fd, STDOUT_FILENO);
      dup2(fd, STDERR_FILENO);
      execl(kProgram, kProgram, "--settings", settings.c_str(),
            static_cast<char*>(nullptr));
      _exit(127);
    }
    record_.Write("machine %s: process %d starts", o_.name.c_str(), pid_);
  }

  // Notices the end of the process and starts it again.
  void Poll() {
    if (ending_) {
      return;
    }
    int status = 0;
    if (pid_ > 0 && waitpid(pid_, &status, WNOHANG) == pid_) {
      const bool by_signal = WIFSIGNALED(status);
      record_.Say("machine %s: process %d ended%s, %s %d", o_.name.c_str(),
                  pid_, expected_end_ ? "" : " by itself",
                  by_signal ? "signal" : "exit code",
                  by_signal ? WTERMSIG(status) : WEXITSTATUS(status));
      self_ends_ += expected_end_ ? 0 : 1;
      expected_end_ = false;
      pid_ = -1;
      loop_.After(kRestartDelay, [this] {
        if (!ending_ && !lost_ && pid_ <= 0) {
          Spawn();
        }
      });
    }
    loop_.After(0.02, [this] { Poll(); });
  }

  // Sends GET /ready twice a second. After two misses the machine is out of
  // rotation until it answers with 200 again.
  void CheckReadiness() {
    int misses = 2;
    while (checking_) {
      httplib::Client client(IpText(o_.ip), o_.ready_port);
      client.set_connection_timeout(std::chrono::milliseconds(400));
      client.set_read_timeout(std::chrono::milliseconds(400));
      const auto answer = client.Get("/ready");
      misses = answer && answer->status == 200 ? 0 : misses + 1;
      const bool in = misses == 0 || (misses < 2 && in_rotation_.load());
      was_ready_ = was_ready_ || misses == 0;
      if (in != in_rotation_.exchange(in)) {
        record_.Say("machine %s is %s rotation", o_.name.c_str(),
                    in ? "in" : "out of");
      }
      for (int i = 0; i < 25 && checking_; ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
      }
    }
  }

  Loop& loop_;
  Record& record_;
  MachineOptions o_;
  pid_t pid_ = -1;
  bool expected_end_ = false;
  bool ending_ = false;
  bool lost_ = false;
  int self_ends_ = 0;
  std::atomic<bool> checking_ = false;
  std::atomic<bool> in_rotation_ = false;
  std::atomic<bool> was_ready_ = false;
  std::thread checker_;
};

// Forwards packets of clients, as the platform's routers do with `steady`.
class Router {
 public:
  void Add(Machine* machine) { machines_.push_back(machine); }

  // The machine for a packet of the flow with these two ends, or null.
  const Machine* Select(const std::string& zone,
                        const Address& client,
                        const Address& route) const {
    std::vector<const Machine*> all;
    std::vector<const Machine*> in;
    std::vector<const Machine*> elsewhere;
    for (const Machine* machine : machines_) {
      const bool own = machine->options().zone == zone;
      if (own) {
        all.push_back(machine);
      }
      if (machine->in_rotation()) {
        (own ? in : elsewhere).push_back(machine);
      }
    }
    std::vector<const Machine*>& chosen =
        in.empty() ? elsewhere : (2 * in.size() < all.size() ? all : in);
    const Machine* best = nullptr;
    std::uint64_t best_rank = 0;
    for (const Machine* machine : chosen) {
      const std::uint64_t rank =
          Hash(Text(client) + Text(route) + machine->options().name);
      if (best == nullptr || rank > best_rank) {
        best = machine;
        best_rank = rank;
      }
    }
    return best;
  }

 private:
  static std::uint64_t Hash(const std::string& text) {
    std::uint64_t hash = 0xcbf29ce484222325;
    for (const char c : text) {
      hash = (hash ^ static_cast<std::uint8_t>(c)) * 0x100000001b3;
    }
    hash ^= hash >> 33;
    hash *= 0xff51afd7ed558ccd;
    return hash ^ (hash >> 33);
  }

  std::vector<Machine*> machines_;
};

}  // namespace review

#endif  // GCW_REVIEW_PLATFORM_H_
