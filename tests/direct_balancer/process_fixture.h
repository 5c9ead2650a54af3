#ifndef GCW_TESTS_DIRECT_BALANCER_PROCESS_FIXTURE_H_
#define GCW_TESTS_DIRECT_BALANCER_PROCESS_FIXTURE_H_

#include <fmt/format.h>
#include <httplib.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "src/lab/daemon_process.h"
#include "tests/direct_balancer/daemon_fixture.h"

namespace gcw::direct_balancer {

// Runs gcw-direct as processes of their own, against the stand-ins of
// DaemonFixture. The variable GCW_DIRECT_PROGRAM names another program to run,
// such as that of an earlier release.
class ProcessFixture : public DaemonFixture {
 public:
  explicit ProcessFixture(std::size_t page_bytes = 0)
      : DaemonFixture(page_bytes),
        work_dir_(fmt::format("/tmp/gcw-direct-process-{}-{}",
                              getpid(),
                              SettingsOf(0).packets.port)) {
    std::filesystem::create_directories(work_dir_);
  }
  ~ProcessFixture() { std::filesystem::remove_all(work_dir_); }

  // The settings of the daemon with this index, as its settings file has them.
  nlohmann::json SettingsFileOf(std::uint32_t daemon) const {
    const Settings settings = SettingsOf(daemon);
    nlohmann::json seeds = nlohmann::json::array();
    for (const Endpoint& seed : settings.seeds) {
      seeds.push_back(ToString(seed));
    }
    return {{"name", settings.name},
            {"zone", settings.zone},
            {"packets", ToString(settings.packets)},
            {"ready", ToString(settings.ready)},
            {"metrics_port", settings.metrics.port},
            {"members_port", settings.members_port},
            {"seeds", seeds},
            {"platform", ToString(settings.platform)},
            {"stop_limit_s", absl::ToInt64Seconds(settings.stop_limit)},
            {"log_level", "info"}};
  }

  // Starts a process with `settings`, or with SettingsFileOf() the index.
  std::unique_ptr<lab::DaemonProcess> StartProcess(
      std::uint32_t daemon,
      const lab::ProcessLimits& limits = {}) {
    return StartProcess(daemon, SettingsFileOf(daemon), limits);
  }
  std::unique_ptr<lab::DaemonProcess> StartProcess(
      std::uint32_t daemon,
      const nlohmann::json& settings,
      const lab::ProcessLimits& limits = {}) {
    const std::string path = fmt::format("{}/{}.json", work_dir_, daemon);
    std::ofstream(path) << settings.dump();
    auto made =
        lab::DaemonProcess::Make(Program(), path, LogPath(daemon), limits);
    if (!made.ok()) {
      FAIL(gcw::ToString(made.error()));
    }
    return std::move(made).value();
  }

  // What the daemon has written to standard output and standard error so far.
  std::string LogOf(std::uint32_t daemon) const {
    std::ifstream log(LogPath(daemon));
    return {std::istreambuf_iterator<char>(log), {}};
  }

  // Waits until the daemon's log contains `text`. Returns false after
  // `timeout`.
  bool LogContains(std::uint32_t daemon,
                   std::string_view text,
                   absl::Duration timeout = kTimeout) const {
    const absl::Time deadline = absl::Now() + timeout;
    while (LogOf(daemon).find(text) == std::string::npos) {
      if (absl::Now() > deadline) {
        return false;
      }
      absl::SleepFor(absl::Milliseconds(20));
    }
    return true;
  }

  // Waits until the daemon answers its readiness check with 200. Returns false
  // after `timeout`.
  bool BecomesReady(std::uint32_t daemon,
                    absl::Duration timeout = kTimeout) const {
    const Endpoint ready = SettingsOf(daemon).ready;
    const absl::Time deadline = absl::Now() + timeout;
    while (absl::Now() < deadline) {
      httplib::Client client(IpToString(ready.ip), ready.port);
      client.set_connection_timeout(std::chrono::milliseconds(200));
      client.set_read_timeout(std::chrono::milliseconds(500));
      const auto answer = client.Get("/ready");
      if (answer && answer->status == 200) {
        return true;
      }
      absl::SleepFor(absl::Milliseconds(20));
    }
    return false;
  }

  // Waits until the process has ended and returns its exit code, or nothing
  // after `timeout`.
  static std::optional<int> WaitForExit(lab::DaemonProcess& process,
                                        absl::Duration timeout) {
    const absl::Time deadline = absl::Now() + timeout;
    while (absl::Now() < deadline) {
      if (const auto code = process.ExitCode()) {
        return code;
      }
      absl::SleepFor(absl::Milliseconds(10));
    }
    return process.ExitCode();
  }

  // The share of one core that the process uses during `period`.
  static double ProcessorShare(lab::DaemonProcess& process,
                               absl::Duration period) {
    const auto before = process.Usage();
    REQUIRE(before);
    absl::SleepFor(period);
    const auto after = process.Usage();
    REQUIRE(after);
    return absl::FDivDuration(after->processor_time - before->processor_time,
                              period);
  }

 private:
  static std::string Program() {
    const char* other = std::getenv("GCW_DIRECT_PROGRAM");
    return other != nullptr ? other : GCW_BIN_DIR "/gcw-direct";
  }
  std::string LogPath(std::uint32_t daemon) const {
    return fmt::format("{}/{}.log", work_dir_, daemon);
  }

  const std::string work_dir_;
};

}  // namespace gcw::direct_balancer

#endif  // GCW_TESTS_DIRECT_BALANCER_PROCESS_FIXTURE_H_
