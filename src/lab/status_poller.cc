#include "src/lab/status_poller.h"

#include <httplib.h>

#include <atomic>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <thread>
#include <utility>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"

namespace gcw::lab {
namespace {

constexpr int kStatusPort = 7007;
constexpr absl::Duration kPollInterval = absl::Milliseconds(100);
// After this long without an answer, a poll gives no report, so that a daemon
// that is frozen holds up the polls of other daemons only briefly.
constexpr std::chrono::milliseconds kRequestTimeout(250);

// Fetches the status of the daemon at `ip`. Returns nothing if the daemon does
// not answer or its status has no revision.
std::optional<StatusReport> FetchStatus(std::uint32_t ip) {
  httplib::Client client(IpToString(ip), kStatusPort);
  client.set_connection_timeout(kRequestTimeout);
  client.set_read_timeout(kRequestTimeout);
  const httplib::Result answer = client.Get("/status");
  if (!answer || answer->status != 200) {
    return std::nullopt;
  }
  const auto json = nlohmann::json::parse(answer->body, nullptr, false);
  if (!json.is_object() || !json.contains("revision") ||
      !json["revision"].is_number_unsigned()) {
    return std::nullopt;
  }
  StatusReport report;
  report.revision = json["revision"].get<std::uint64_t>();
  const nlohmann::json::json_pointer certain("/dispatch/certain");
  report.certain = json.value(certain, false);
  return report;
}

}  // namespace

class StatusPoller::Impl {
 public:
  explicit Impl(const Topology& topology)
      : topology_(topology), thread_([this] { Run(); }) {}

  ~Impl() {
    stopped_ = true;
    thread_.join();
  }

  void Run() {
    while (!stopped_) {
      for (const auto& [daemon, process] : Targets()) {
        auto report = FetchStatus(topology_.daemons[daemon].bind);
        if (report) {
          report->daemon = daemon;
          report->process = process;
          absl::MutexLock lock(&mutex_);
          reports_.push_back(*report);
        }
      }
      absl::SleepFor(kPollInterval);
    }
  }

  std::map<DaemonIndex, std::uint64_t> Targets() {
    absl::MutexLock lock(&mutex_);
    return targets_;
  }

  const Topology& topology_;
  absl::Mutex mutex_;
  std::map<DaemonIndex, std::uint64_t> targets_ ABSL_GUARDED_BY(mutex_);
  std::vector<StatusReport> reports_ ABSL_GUARDED_BY(mutex_);
  std::atomic<bool> stopped_ = false;
  std::thread thread_;
};

StatusPoller::StatusPoller(const Topology& topology)
    : impl_(std::make_unique<Impl>(topology)) {}
StatusPoller::~StatusPoller() = default;

void StatusPoller::StartPolling(DaemonIndex daemon, std::uint64_t process) {
  absl::MutexLock lock(&impl_->mutex_);
  impl_->targets_[daemon] = process;
}

void StatusPoller::StopPolling(DaemonIndex daemon) {
  absl::MutexLock lock(&impl_->mutex_);
  impl_->targets_.erase(daemon);
}

std::vector<StatusReport> StatusPoller::TakeReports() {
  absl::MutexLock lock(&impl_->mutex_);
  return std::exchange(impl_->reports_, {});
}

}  // namespace gcw::lab
