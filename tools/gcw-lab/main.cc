#include <fmt/format.h>
#include <CLI/CLI.hpp>

#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>

#include "src/lab/lab_run.h"
#include "src/lab/matrix.h"

namespace {

using gcw::ResultCode;

struct RunCommand {
  gcw::lab::RunOptions options;
  std::string base;
  std::string report_path;
};

int ExitCode(ResultCode code) {
  return static_cast<int>(code);
}

int Fail(const gcw::Error& error) {
  fmt::print(stderr, "gcw-lab: {}\n", ToString(error));
  return ExitCode(error.code);
}

// The directory of this program's executable.
std::string ExecutableDirectory() {
  return std::filesystem::read_symlink("/proc/self/exe").parent_path();
}

int Run(const RunCommand& command) {
  std::ifstream file(command.options.scenario_path);
  std::stringstream text;
  text << file.rdbuf();
  if (!file) {
    return Fail({ResultCode::kScenarioInvalid, "",
                 "cannot read " + command.options.scenario_path});
  }
  const auto parsed = gcw::lab::ParseScenario(text.str(), command.base);
  if (const auto* errors = std::get_if<gcw::lab::ScenarioErrors>(&parsed)) {
    for (const gcw::Error& error : *errors) {
      Fail(error);
    }
    return ExitCode(ResultCode::kScenarioInvalid);
  }
  const auto report = gcw::lab::RunScenario(
      std::get<gcw::lab::Scenario>(parsed), command.options);
  if (!report.ok()) {
    return Fail(report.error());
  }
  if (!command.report_path.empty()) {
    std::ofstream(command.report_path)
        << ToJson(report.value()).dump(2) << "\n";
  }
  fmt::print("{}", ToText(report.value()));
  return report.value().passed() ? 0 : ExitCode(ResultCode::kCheckFailed);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app(
      "Runs scenarios against real daemons and checks the measured results.");
  app.require_subcommand(1);

  RunCommand run;
  run.options.bin_directory = ExecutableDirectory();
  CLI::App* run_app = app.add_subcommand("run", "Run one scenario.");
  run_app->add_option("scenario", run.options.scenario_path)->required();
  run_app->add_option("--seed", run.options.seed, "Seed of all random choices");
  run_app->add_option("--base", run.base,
                      "Base configuration: valtellina or scot-east");
  run_app->add_option("--policy", run.options.policy,
                      "Flow routing policy: tables, hash or local");
  run_app->add_option(
      "--dispatch-policy", run.options.dispatch_policy,
      "Request dispatch policy, a name from the settings of gcw-balancer");
  run_app->add_option("--report", run.report_path,
                      "File to write the JSON report to");
  run_app->add_option("--bin", run.options.bin_directory,
                      "Directory of the gcw-balancer executable");
  run_app->add_option("--keep-logs", run.options.keep_logs,
                      "Directory to keep the daemons' settings and logs in");

  gcw::lab::MatrixOptions matrix;
  matrix.program = ExecutableDirectory() + "/gcw-lab";
  std::string seeds = "1-5";
  CLI::App* matrix_app =
      app.add_subcommand("matrix", "Run all scenarios with several seeds.");
  matrix_app->add_option("--seeds", seeds, "FIRST-LAST");
  matrix_app->add_option("--jobs", matrix.jobs, "Number of concurrent runs");
  matrix_app->add_option("--scenarios", matrix.scenario_directory);
  matrix_app->add_option("--only", matrix.name_filter,
                         "Run only scenarios whose name contains this");
  matrix_app->add_option("--policy", matrix.policy);
  matrix_app->add_option("--dispatch-policy", matrix.dispatch_policy);

  CLI11_PARSE(app, argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  if (run_app->parsed()) {
    return Run(run);
  }
  const auto range = gcw::lab::ParseSeeds(seeds);
  if (!range.ok()) {
    return Fail(range.error());
  }
  matrix.seeds = range.value();
  const auto passed = gcw::lab::RunMatrix(matrix);
  if (!passed.ok()) {
    return Fail(passed.error());
  }
  return passed.value() ? 0 : ExitCode(ResultCode::kCheckFailed);
}
