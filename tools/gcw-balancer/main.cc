#include <csignal>
#include <variant>

#include "gcw/base/log.h"
#include "src/balancer/balancer.h"
#include "src/balancer/settings.h"
#include "src/daemon/program.h"
#include "src/daemon/start_retry.h"

namespace {

using gcw::balancer::Settings;
using gcw::balancer::SettingsErrors;

constexpr char kName[] = "gcw-balancer";
constexpr gcw::daemon::ProgramInfo kProgramInfo{
    "Routes flows and requests to backend servers.", "gcw-balancer 0.1.0"};

// Runs the daemon until SIGTERM or SIGINT. Returns the exit code. Precondition:
// `signals` are blocked and contain these two.
int Serve(const Settings& settings, const sigset_t& signals) {
  gcw::SetLogLevel(settings.log_level);
  gcw::daemon::StartRetry retry(kName, signals);
  auto balancer = gcw::balancer::Balancer::Make(settings);
  while (!balancer.ok()) {
    if (const auto exit_code = retry.OnFailure(balancer.error())) {
      return *exit_code;
    }
    balancer = gcw::balancer::Balancer::Make(settings);
  }
  int signal = 0;
  sigwait(&signals, &signal);
  balancer.value()->Shutdown();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  gcw::daemon::OpenClosedStandardStreams();
  const sigset_t signals = gcw::daemon::BlockSignals({SIGTERM, SIGINT});
  gcw::daemon::PrintFatalExceptions(kName);
  gcw::daemon::IgnoreUnusedSignals({SIGHUP});
  const auto read = gcw::daemon::ReadArguments(argc, argv, kProgramInfo);
  if (const auto* exit = std::get_if<gcw::daemon::Exit>(&read)) {
    return exit->code;
  }
  const auto& arguments = std::get<gcw::daemon::Arguments>(read);
  const auto settings = gcw::balancer::ReadSettings(arguments.settings);
  if (const auto* errors = std::get_if<SettingsErrors>(&settings)) {
    return gcw::daemon::PrintSettingsErrors(kName, *errors);
  }
  if (arguments.check) {
    return 0;
  }
  return Serve(std::get<Settings>(settings), signals);
}
