// gcw-api: the operators' resource API. See docs/API.md.
#include <fmt/format.h>
#include <pthread.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <fstream>
#include <iterator>
#include <memory>
#include <string>
#include <utility>

#include "gcw/api/api_server.h"
#include "gcw/api/api_settings.h"
#include "gcw/base/log.h"
#include "gcw/base/result_code.h"

namespace {

using gcw::ResultCode;

constexpr gcw::Logger kLog("api");
constexpr char kVersion[] = "gcw-api 0.1.0";

int ExitCode(ResultCode code) {
  return static_cast<int>(code);
}

// Reads the file, or nothing if it cannot be read.
std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return std::nullopt;
  }
  std::string text{std::istreambuf_iterator<char>(file), {}};
  return file.bad() ? std::nullopt : std::optional(std::move(text));
}

// Blocks the signals that end the program, before any thread starts, so that
// only WaitForSignal() gets them.
sigset_t BlockSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

int Serve(const gcw::api::ApiSettings& settings) {
  const sigset_t signals = BlockSignals();
  gcw::Result<std::unique_ptr<gcw::api::ApiServer>> server =
      gcw::api::ApiServer::Make(settings);
  if (!server.ok()) {
    kLog.Error("{}.", gcw::ToString(server.error()));
    return ExitCode(server.error().code);
  }
  int signal = 0;
  sigwait(&signals, &signal);
  kLog.Info("Signal {}: finishing the calls under way.", signal);
  server.value().reset();
  kLog.Info("Stopped.");
  return ExitCode(ResultCode::kOk);
}

int Run(const std::string& path, bool check_only) {
  const std::optional<std::string> text = ReadFile(path);
  if (!text.has_value()) {
    kLog.Error("The settings file '{}' cannot be read.", path);
    return ExitCode(ResultCode::kSettingsUnreadable);
  }
  const gcw::api::ParsedApiSettings parsed = gcw::api::ParseApiSettings(*text);
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
  return Serve(parsed.settings);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("The resource API of goldcrestwheel for operators.", "gcw-api");
  std::string settings;
  bool check_only = false;
  app.add_option("--settings", settings, "Settings file (JSON)")->required();
  app.add_flag("--check", check_only, "Check the settings and exit");
  app.set_version_flag("--version", kVersion);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    const bool is_success = app.exit(e) == 0;
    return ExitCode(is_success ? ResultCode::kOk : ResultCode::kUsage);
  }
  return Run(settings, check_only);
}
