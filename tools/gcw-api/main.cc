// gcw-api: serves the operators' resource API. See docs/API.md.
#include <csignal>
#include <memory>
#include <string>
#include <utility>
#include <variant>

#include "gcw/api/api_server.h"
#include "gcw/api/api_settings.h"
#include "gcw/base/log.h"
#include "gcw/base/result_code.h"
#include "src/daemon/program.h"
#include "src/daemon/settings_file.h"
#include "src/daemon/start_retry.h"

namespace {

using gcw::ResultCode;
using gcw::daemon::ExitCode;

constexpr gcw::Logger kLog("api");
constexpr gcw::daemon::ProgramInfo kProgramInfo{
    "The resource API of goldcrestwheel for operators.", "gcw-api 0.1.0"};

// Runs the server until one of `signals`, which are blocked, arrives. Returns
// the exit code.
int Serve(const gcw::api::ApiSettings& settings, const sigset_t& signals) {
  gcw::daemon::StartRetry retry("gcw-api", signals);
  gcw::Result<std::unique_ptr<gcw::api::ApiServer>> server =
      gcw::api::ApiServer::Make(settings);
  while (!server.ok()) {
    if (const auto exit_code = retry.OnFailure(server.error())) {
      return *exit_code;
    }
    server = gcw::api::ApiServer::Make(settings);
  }
  int signal = 0;
  sigwait(&signals, &signal);
  kLog.Info("Signal {}: finishing the calls in progress.", signal);
  server.value().reset();
  kLog.Info("Stopped.");
  return ExitCode(ResultCode::kOk);
}

int Run(const std::string& path, bool check_only, const sigset_t& signals) {
  const gcw::Result<std::string> text = gcw::daemon::ReadSettingsFile(path);
  if (!text.ok()) {
    kLog.Error("{}.", gcw::ToString(text.error()));
    return ExitCode(text.error().code);
  }
  const gcw::api::ParsedApiSettings parsed =
      gcw::api::ParseApiSettings(text.value());
  for (const gcw::Error& error : parsed.errors) {
    kLog.Error("{}: {}.", path, gcw::ToString(error));
  }
  if (!parsed.errors.empty()) {
    return ExitCode(ResultCode::kSettingsInvalid);
  }
  if (check_only) {
    return ExitCode(ResultCode::kOk);
  }
  gcw::SetLogLevel(parsed.settings.log_level);
  return Serve(parsed.settings, signals);
}

}  // namespace

int main(int argc, char** argv) {
  gcw::daemon::OpenClosedStandardStreams();
  const sigset_t signals = gcw::daemon::BlockSignals({SIGTERM, SIGINT});
  gcw::daemon::PrintFatalExceptions("gcw-api");
  gcw::daemon::IgnoreUnusedSignals({SIGHUP});
  const auto read = gcw::daemon::ReadArguments(argc, argv, kProgramInfo);
  if (const auto* exit = std::get_if<gcw::daemon::Exit>(&read)) {
    return exit->code;
  }
  const auto& arguments = std::get<gcw::daemon::Arguments>(read);
  return Run(arguments.settings, arguments.check, signals);
}
