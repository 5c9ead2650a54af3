#include <algorithm>
#include <csignal>
#include <ctime>
#include <string>
#include <variant>

#include "gcw/kernel/event_loop.h"
#include "src/daemon/program.h"
#include "src/daemon/start_retry.h"
#include "src/direct_balancer/daemon.h"
#include "src/direct_balancer/settings.h"

namespace {

using gcw::direct_balancer::Daemon;
using gcw::direct_balancer::Settings;
using gcw::direct_balancer::SettingsErrors;

constexpr char kName[] = "gcw-direct";
constexpr gcw::daemon::ProgramInfo kProgramInfo{
    "Routes flows to backend servers that answer callers directly.",
    "gcw-direct 0.1.0"};
// How often the settings file is checked for changes if no signal arrives.
constexpr absl::Duration kSettingsPoll = absl::Seconds(2);

// How long to wait for a signal before the next periodic work.
timespec WaitTime(const Daemon& daemon) {
  const absl::Duration start =
      daemon.next_start_attempt() - gcw::kernel::MonotonicNow();
  return absl::ToTimespec(
      std::clamp(start, absl::ZeroDuration(), kSettingsPoll));
}

// Runs the daemon until SIGTERM or SIGINT. Reloads the settings file on SIGHUP
// and when the file has changed. Returns the exit code. Precondition: `signals`
// are blocked and contain these three.
int Serve(const Settings& settings,
          const std::string& path,
          const sigset_t& signals) {
  gcw::daemon::StartRetry retry(kName, signals);
  auto daemon = Daemon::Make(settings, path);
  while (!daemon.ok()) {
    if (const auto exit_code = retry.OnFailure(daemon.error())) {
      return *exit_code;
    }
    daemon = Daemon::Make(settings, path);
  }
  for (;;) {
    const timespec wait = WaitTime(*daemon.value());
    const int signal = sigtimedwait(&signals, nullptr, &wait);
    if (signal == SIGTERM || signal == SIGINT) {
      daemon.value()->Shutdown(signal);
      return 0;
    }
    const gcw::Status started = daemon.value()->ContinueStart();
    if (!started.ok()) {
      return gcw::daemon::PrintError(kName, started.error());
    }
    if (signal == SIGHUP) {
      daemon.value()->Reload();
    } else {
      daemon.value()->ReloadIfChanged();
    }
  }
}

}  // namespace

int main(int argc, char** argv) {
  gcw::daemon::OpenClosedStandardStreams();
  const sigset_t signals = gcw::daemon::BlockSignals({SIGTERM, SIGINT, SIGHUP});
  gcw::daemon::PrintFatalExceptions(kName);
  gcw::daemon::IgnoreUnusedSignals();
  const auto read = gcw::daemon::ReadArguments(argc, argv, kProgramInfo);
  if (const auto* exit = std::get_if<gcw::daemon::Exit>(&read)) {
    return exit->code;
  }
  const auto& arguments = std::get<gcw::daemon::Arguments>(read);
  const auto settings = gcw::direct_balancer::ReadSettings(arguments.settings);
  if (const auto* errors = std::get_if<SettingsErrors>(&settings)) {
    return gcw::daemon::PrintSettingsErrors(kName, *errors);
  }
  const auto& valid = std::get<Settings>(settings);
  if (!arguments.check) {
    return Serve(valid, arguments.settings, signals);
  }
  return valid.ignored.empty()
             ? 0
             : gcw::daemon::PrintSettingsErrors(kName, valid.ignored);
}
