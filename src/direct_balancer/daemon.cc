#include "src/direct_balancer/daemon.h"

#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <random>
#include <utility>
#include <variant>

#include "absl/time/clock.h"
#include "gcw/base/event_log.h"
#include "gcw/kernel/event_loop.h"
#include "gcw/kernel/kernel.h"
#include "platform/ready.h"
#include "src/daemon/http_endpoint.h"
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
// The routers ask twice a second and need two misses before they move flows.
constexpr absl::Duration kRoutersNotice = absl::Milliseconds(1600);
// No packet for this long: the routers have moved.
constexpr absl::Duration kQuiet = absl::Milliseconds(400);
// Left of the stop limit for the end of the process itself.
constexpr absl::Duration kStopMargin = absl::Milliseconds(800);
constexpr absl::Duration kLeavePoll = absl::Milliseconds(50);

// Changes whenever the file is written again.
struct FileStamp {
  std::int64_t modified_ns = 0;
  std::int64_t size = 0;

  bool operator==(const FileStamp&) const = default;
};

FileStamp StampOf(const std::string& path) {
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
      : settings_(settings), path_(std::move(path)), stamp_(StampOf(path_)) {}

  Status Start() {
    auto log = EventLog::Make({.level = settings_.log_level});
    if (!log.ok()) {
      return log.error();
    }
    log_ = std::move(log).value();
    writer_ = std::make_unique<EventWriter>(*log_);
    writer_->Write(ProcessStarted{settings_.name, settings_.zone,
                                  ToString(settings_.packets)});
    const std::uint64_t seed = std::random_device{}();
    packets_ = std::make_unique<PacketTask>(settings_, seed, kernel_, *writer_,
                                            shared_, metrics_);
    Status started = packets_->Start();
    if (!started.ok()) {
      return started;
    }
    state_ = std::make_unique<StateTask>(settings_, seed + 1, kernel_, *writer_,
                                         metrics_);
    started = state_->Start();
    if (!started.ok()) {
      return started;
    }
    return OpenEndpoints();
  }

  void Reload() {
    stamp_ = StampOf(path_);
    const auto read = ReadSettings(path_);
    if (const auto* errors = std::get_if<SettingsErrors>(&read)) {
      writer_->Write(SettingsReloaded{false, ToString(errors->front()), {}});
      return;
    }
    const auto& wanted = std::get<Settings>(read);
    log_->set_level(wanted.log_level);
    writer_->Write(
        SettingsReloaded{true, "", FixedFieldsThatDiffer(settings_, wanted)});
    settings_.log_level = wanted.log_level;
    settings_.stop_limit = wanted.stop_limit;
  }

  void ReloadIfChanged() {
    if (StampOf(path_) != stamp_) {
      Reload();
    }
  }

  void Shutdown(int signal) {
    const absl::Time told = kernel::MonotonicNow();
    writer_->Write(ProcessStopping{signal});
    shared_.leaving.store(true, std::memory_order_relaxed);
    const absl::Time limit = told + settings_.stop_limit - kStopMargin;
    const absl::Time earliest = std::min(told + kRoutersNotice, limit);
    absl::Time now = told;
    while (now < limit && (now < earliest || now - LastPacket() < kQuiet)) {
      absl::SleepFor(kLeavePoll);
      now = kernel::MonotonicNow();
    }
    state_->Leave();
    writer_->Write(ProcessStopped{now - told, now - LastPacket(),
                                  shared_.open_flows.load()});
  }

 private:
  Status OpenEndpoints() {
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
    if (settings_.metrics.port == 0) {
      return OkStatus();
    }
    auto metrics = daemon::HttpEndpoint::Make(
        {.listen = settings_.metrics, .path = kMetricsPath},
        [this]() -> daemon::HttpAnswer {
          return {kOk, metrics_.Render(log_->stats())};
        });
    if (!metrics.ok()) {
      return metrics.error();
    }
    metrics_endpoint_ = std::move(metrics).value();
    return OkStatus();
  }

  absl::Time LastPacket() const {
    return absl::FromUnixNanos(
        shared_.last_packet_ns.load(std::memory_order_relaxed));
  }

  Settings settings_;
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
