#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <string>
#include <variant>

#include "gcw/base/log.h"
#include "src/balancer/balancer.h"
#include "src/balancer/settings.h"

namespace {

constexpr char kVersion[] = "gcw-balancer 0.1.0";

int ExitCode(gcw::ResultCode code) {
  return static_cast<int>(code);
}

void Print(const gcw::Error& error) {
  fmt::print(stderr, "gcw-balancer: {}\n", gcw::ToString(error));
}

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

int Serve(const gcw::balancer::Settings& settings) {
  // Blocked before any thread starts, so that only this one takes them.
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  gcw::SetLogLevel(settings.log_level);
  const auto balancer = gcw::balancer::Balancer::Make(settings);
  if (!balancer.ok()) {
    Print(balancer.error());
    return ExitCode(balancer.error().code);
  }
  int signal = 0;
  sigwait(&signals, &signal);
  balancer.value()->Shutdown();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Routes flows and requests to backend servers.");
  std::string path;
  bool check = false;
  app.add_option("--settings", path, "settings file, JSON")->required();
  app.add_flag("--check", check, "check the settings and exit");
  app.set_version_flag("--version", kVersion);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    const int code = app.exit(error);
    return code == 0 ? 0 : ExitCode(gcw::ResultCode::kUsage);
  }
  const gcw::Result<std::string> text = gcw::balancer::ReadSettingsFile(path);
  if (!text.ok()) {
    Print(text.error());
    return ExitCode(text.error().code);
  }
  const auto parsed = gcw::balancer::ParseSettings(text.value());
  if (const auto* errors =
          std::get_if<gcw::balancer::SettingsErrors>(&parsed)) {
    for (const gcw::Error& error : *errors) {
      Print(error);
    }
    return ExitCode(gcw::ResultCode::kSettingsInvalid);
  }
  if (check) {
    return 0;
  }
  return Serve(std::get<gcw::balancer::Settings>(parsed));
}
