#include <csignal>
#include <ctime>
#include <string>
#include <variant>

#include "src/daemon/program.h"
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
constexpr timespec kSettingsPoll{2, 0};

// Runs the daemon until SIGTERM or SIGINT. Reloads the settings file on SIGHUP
// and when the file has changed. Returns the exit code. Precondition: `signals`
// are blocked and contain these three.
int Serve(const Settings& settings,
          const std::string& path,
          const sigset_t& signals) {
  const auto daemon = Daemon::Make(settings, path);
  if (!daemon.ok()) {
    return gcw::daemon::PrintError(kName, daemon.error());
  }
  for (;;) {
    const int signal = sigtimedwait(&signals, nullptr, &kSettingsPoll);
    if (signal == SIGTERM || signal == SIGINT) {
      daemon.value()->Shutdown(signal);
      return 0;
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
  if (arguments.check) {
    return 0;
  }
  return Serve(std::get<Settings>(settings), arguments.settings, signals);
}
