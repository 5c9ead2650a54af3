#include "src/direct_balancer/daemon.h"

#include <sys/mman.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <bit>
#include <random>
#include <utility>
#include <variant>

#include "absl/time/clock.h"
#include "gcw/base/event_log.h"
#include "gcw/kernel/event_loop.h"
#include "gcw/kernel/kernel.h"
#include "platform/ready.h"
#include "src/daemon/http_endpoint.h"
#include "src/daemon/start_sequence.h"
#include "src/direct_balancer/event_writer.h"
#include "src/direct_balancer/metrics.h"
#include "src/direct_balancer/packet_task.h"
#include "src/direct_balancer/shared_state.h"
#include "src/direct_balancer/state_task.h"

namespace gcw::direct_balancer {
namespace {

constexpr int kOk = 200;
constexpr int kUnavailable = 503;
constexpr char kMetricsPath[] = "/metrics";
// Minimum time from the first 503 to the end of forwarding: the routers check
// readiness twice a second and move flows to other daemons only after two
// failed checks.
constexpr absl::Duration kRouterFailoverTime = absl::Milliseconds(1600);
// When no packet has arrived for this long during shutdown, the routers have
// moved all flows to other daemons.
constexpr absl::Duration kPacketQuietPeriod = absl::Milliseconds(400);
// The part of the stop limit that is reserved for ending the process after
// forwarding has stopped.
constexpr absl::Duration kProcessExitMargin = absl::Milliseconds(800);
constexpr absl::Duration kShutdownPollInterval = absl::Milliseconds(50);

// The parts of the daemon that are started one after another. The names are
// those of the settings whose addresses they open, as far as they open any.
constexpr char kPacketsPart[] = "packets";
constexpr char kReadyPart[] = "ready";
constexpr char kStatePart[] = "state";
constexpr char kMetricsPart[] = "metrics_port";

// Identifies one version of a file: modification time and size. All zero if the
// file cannot be read.
struct FileStamp {
  std::int64_t modified_ns = 0;
  std::int64_t size = 0;

  bool operator==(const FileStamp&) const = default;
};

// Address space that the threads of the state task need for their stacks and
// their first allocations. A thread that cannot allocate ends the process.
constexpr std::size_t kStateAddressSpace = 48'000'000;

// Fails if the process cannot have `bytes` more of address space now.
Status CheckAddressSpace(std::size_t bytes) {
  void* const space = mmap(nullptr, bytes, PROT_READ | PROT_WRITE,
                           MAP_PRIVATE | MAP_ANONYMOUS, -1, 0);
  if (space == MAP_FAILED) {
    return Error{ResultCode::kInternal, "", "not enough memory",
                 Retry::kAlways};
  }
  munmap(space, bytes);
  return OkStatus();
}

FileStamp ReadFileStamp(const std::string& path) {
  struct stat status {};
  if (stat(path.c_str(), &status) != 0) {
    return {};
  }
  return {absl::ToUnixNanos(absl::TimeFromTimespec(status.st_mtim)),
          status.st_size};
}

}  // namespace

class Daemon::Impl {
 public:
  Impl(const Settings& settings, std::string path)
      : settings_(settings),
        path_(std::move(path)),
        stamp_(ReadFileStamp(path_)) {}

  Status Start() {
    auto log = EventLog::Make({.level = settings_.log_level});
    if (!log.ok()) {
      return log.error();
    }
    log_ = std::move(log).value();
    writer_ = std::make_unique<EventWriter>(*log_);
    writer_->Write(ProcessStarted{settings_.name, settings_.zone,
                                  ToString(settings_.packets)});
    LogIgnored(settings_);
    AddParts();
    return ContinueStart();
  }

  Status ContinueStart() { return start_.Run(kernel::MonotonicNow()); }

  absl::Time next_start_attempt() const { return start_.next_attempt(); }

  void Reload() {
    stamp_ = ReadFileStamp(path_);
    const auto read = ReadSettings(path_);
    if (const auto* errors = std::get_if<SettingsErrors>(&read)) {
      writer_->Write(SettingsReloaded{false, ToString(errors->front()), {}});
      return;
    }
    const auto& updated = std::get<Settings>(read);
    LogIgnored(updated);
    log_->set_level(updated.log_level);
    writer_->Write(SettingsReloaded{
        true, "", ChangedRestartOnlyFields(settings_, updated)});
    settings_.log_level = updated.log_level;
    settings_.stop_limit = updated.stop_limit;
    if (settings_.seeds != updated.seeds) {
      settings_.seeds = updated.seeds;
      if (start_.running(kStatePart)) {
        state_->SetSeeds(updated.seeds);
      }
    }
  }

  void ReloadIfChanged() {
    if (ReadFileStamp(path_) != stamp_) {
      Reload();
    }
  }

  void Shutdown(int signal) {
    const absl::Time start = kernel::MonotonicNow();
    writer_->Write(ProcessStopping{signal});
    shared_.leaving.store(true, std::memory_order_relaxed);
    if (!start_.running(kStatePart)) {
      // Without state the daemon was never ready, so no router uses it.
      writer_->Write(
          ProcessStopped{absl::ZeroDuration(), absl::InfiniteDuration(), 0});
      return;
    }
    const absl::Time deadline =
        start + settings_.stop_limit - kProcessExitMargin;
    const absl::Time earliest = std::min(start + kRouterFailoverTime, deadline);
    absl::Time now = start;
    while (now < deadline &&
           (now < earliest || now - LastPacket() < kPacketQuietPeriod)) {
      absl::SleepFor(kShutdownPollInterval);
      now = kernel::MonotonicNow();
    }
    state_->Leave();
    writer_->Write(ProcessStopped{now - start, now - LastPacket(),
                                  shared_.open_flows.load()});
  }

 private:
  void LogIgnored(const Settings& settings) {
    for (const Error& error : settings.ignored) {
      writer_->Write(SettingIgnored{error.field, error.message});
    }
  }

  void AddParts() {
    start_.Add(kPacketsPart, "", [this] { return StartPackets(); });
    start_.Add(kReadyPart, "", [this] { return OpenReady(); });
    // The state task sends the packet task each state once.
    start_.Add(kStatePart, kPacketsPart, [this] { return StartState(); });
    if (settings_.metrics.port != 0) {
      start_.Add(kMetricsPart, "", [this] { return OpenMetrics(); });
    }
  }

  Status StartPackets() {
    packets_ = std::make_unique<PacketTask>(settings_, seed_, kernel_, *writer_,
                                            shared_, metrics_);
    return packets_->Start();
  }

  Status StartState() {
    Status memory = CheckAddressSpace(kStateAddressSpace);
    if (!memory.ok()) {
      return memory;
    }
    state_ = std::make_unique<StateTask>(settings_, seed_ + 1, kernel_,
                                         *writer_, metrics_);
    return state_->Start();
  }

  Status OpenReady() {
    auto ready = daemon::HttpEndpoint::Make(
        {.listen = settings_.ready, .path = adapter::kReadyPath},
        [this]() -> daemon::HttpAnswer {
          const bool ready = shared_.ready.load(std::memory_order_relaxed) &&
                             !shared_.leaving.load(std::memory_order_relaxed);
          return {ready ? kOk : kUnavailable, ""};
        });
    if (!ready.ok()) {
      return ready.error();
    }
    ready_ = std::move(ready).value();
    return OkStatus();
  }

  Status OpenMetrics() {
    auto metrics = daemon::HttpEndpoint::Make(
        {.listen = settings_.metrics, .path = kMetricsPath},
        [this]() -> daemon::HttpAnswer {
          return {kOk, metrics_.Render(log_->stats())};
        });
    if (!metrics.ok()) {
      // A lack of metrics must not end a daemon that serves.
      Error error = metrics.error();
      error.retry = Retry::kAlways;
      return error;
    }
    metrics_endpoint_ = std::move(metrics).value();
    return OkStatus();
  }

  void OnStartDelayed(std::string_view part,
                      const Error& error,
                      std::uint64_t attempts) {
    metrics_.CountStartDelay();
    // Twice as many attempts between two lines each time.
    if (std::has_single_bit(attempts)) {
      writer_->Write(
          StartDelayed{std::string(part), ToString(error), attempts});
    }
  }

  absl::Time LastPacket() const {
    return absl::FromUnixNanos(
        shared_.last_packet_ns.load(std::memory_order_relaxed));
  }

  Settings settings_;
  const std::uint64_t seed_ = std::random_device{}();
  const std::string path_;
  FileStamp stamp_;
  SharedState shared_;
  Metrics metrics_;
  kernel::Kernel kernel_;
  std::unique_ptr<EventLog> log_;
  std::unique_ptr<EventWriter> writer_;
  std::unique_ptr<PacketTask> packets_;
  std::unique_ptr<StateTask> state_;
  std::unique_ptr<daemon::HttpEndpoint> ready_;
  std::unique_ptr<daemon::HttpEndpoint> metrics_endpoint_;
  daemon::StartSequence start_{seed_, [this](std::string_view part,
                                             const Error& error,
                                             std::uint64_t attempts) {
                                 OnStartDelayed(part, error, attempts);
                               }};
};

Result<std::unique_ptr<Daemon>> Daemon::Make(const Settings& settings,
                                             const std::string& settings_path) {
  auto impl = std::make_unique<Impl>(settings, settings_path);
  const Status started = impl->Start();
  if (!started.ok()) {
    return started.error();
  }
  return std::unique_ptr<Daemon>(new Daemon(std::move(impl)));
}

Daemon::Daemon(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
Daemon::~Daemon() = default;

Status Daemon::ContinueStart() {
  return impl_->ContinueStart();
}
absl::Time Daemon::next_start_attempt() const {
  return impl_->next_start_attempt();
}
void Daemon::Reload() {
  impl_->Reload();
}
void Daemon::ReloadIfChanged() {
  impl_->ReloadIfChanged();
}
void Daemon::Shutdown(int signal) {
  impl_->Shutdown(signal);
}

}  // namespace gcw::direct_balancer
