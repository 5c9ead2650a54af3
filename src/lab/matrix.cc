#include "src/lab/matrix.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

#include "src/lab/scenario.h"

namespace gcw::lab {
namespace {

namespace fs = std::filesystem;

constexpr std::uint64_t kMaxSeeds = 1000;
// Exit code of a child process that could not execute gcw-lab.
constexpr int kExecFailed = 127;

// One run of gcw-lab with one scenario, deployment and seed.
struct Job {
  std::string scenario;  // Path of the scenario file.
  std::string base;
  std::uint64_t seed = 0;
  std::string report;  // Path of the report file.

  std::vector<std::string> Arguments(const MatrixOptions& options) const {
    return {options.program,
            "run",
            scenario,
            "--base",
            base,
            "--seed",
            fmt::format("{}", seed),
            "--policy",
            options.policy,
            "--dispatch-policy",
            options.dispatch_policy,
            "--report",
            report};
  }
};

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

Result<std::vector<Job>> ListJobs(const MatrixOptions& options,
                                  const std::string& directory) {
  std::set<fs::path> files;
  std::error_code error;
  for (const auto& entry :
       fs::directory_iterator(options.scenario_directory, error)) {
    const std::string stem = entry.path().stem();
    if (entry.path().extension() == ".json" &&
        stem.find(options.name_filter) != std::string::npos) {
      files.insert(entry.path());
    }
  }
  std::vector<Job> jobs;
  for (const fs::path& file : files) {
    const auto parsed = ParseScenario(ReadFile(file), "");
    if (const auto* errors = std::get_if<ScenarioErrors>(&parsed)) {
      return Error{
          ResultCode::kScenarioInvalid, "",
          fmt::format("{}: {}", file.string(), ToString(errors->front()))};
    }
    for (const std::string& base : std::get<Scenario>(parsed).bases) {
      for (std::uint64_t seed = options.seeds.first; seed <= options.seeds.last;
           ++seed) {
        jobs.push_back({file, base, seed,
                        fmt::format("{}/{}.json", directory, jobs.size())});
      }
    }
  }
  return jobs;
}

pid_t Launch(const std::vector<std::string>& arguments) {
  const pid_t pid = fork();
  if (pid != 0) {
    return pid;
  }
  prctl(PR_SET_PDEATHSIG, SIGTERM);
  const int null = open("/dev/null", O_WRONLY);
  dup2(null, STDOUT_FILENO);
  std::vector<char*> argv;
  argv.reserve(arguments.size() + 1);
  for (const std::string& argument : arguments) {
    argv.push_back(const_cast<char*>(argument.c_str()));
  }
  argv.push_back(nullptr);
  execv(argv[0], argv.data());
  _exit(kExecFailed);
}

std::string CellName(const MatrixCell& cell) {
  return fmt::format("{} ({})", cell.scenario, cell.base);
}

// The table cell of a run that wrote no report: a missed bound on the total
// "run.failed".
MatrixCell FailedRun(const Job& job) {
  MatrixCell cell;
  cell.scenario = fs::path(job.scenario).stem();
  cell.base = job.base;
  cell.total = "run.failed";
  cell.worst = 1;
  cell.ok = false;
  cell.worst_seed = job.seed;
  return cell;
}

// Lists the missed bounds of one report, for its progress line.
std::string DescribeMissedBounds(const std::vector<MatrixCell>& cells) {
  std::string text;
  for (const MatrixCell& cell : cells) {
    if (!cell.ok) {
      text += fmt::format(" {}={:.4g}", cell.total, cell.worst);
    }
  }
  return text;
}

void CollectReport(const Job& job,
                   const MatrixOptions& options,
                   std::vector<MatrixCell>* cells) {
  const std::string text = ReadFile(job.report);
  std::vector<MatrixCell> own;
  if (!AddReport(text, &own).ok()) {
    own = {FailedRun(job)};
    cells->push_back(own.front());
  } else {
    (void)AddReport(text, cells).ok();
  }
  const std::string missed = DescribeMissedBounds(own);
  fmt::print("{} {} seed {}: {}{}\n", fs::path(job.scenario).stem().string(),
             job.base, job.seed, missed.empty() ? "passed" : "FAILED", missed);
  if (!missed.empty()) {
    auto arguments = job.Arguments(options);
    arguments.resize(arguments.size() - 2);  // Without "--report PATH".
    fmt::print("  repeat: {}\n", fmt::join(arguments, " "));
  }
  std::fflush(stdout);
}

void RunJobs(const std::vector<Job>& jobs,
             const MatrixOptions& options,
             std::vector<MatrixCell>* cells) {
  std::map<pid_t, Job> running;
  std::size_t next = 0;
  while (next < jobs.size() || !running.empty()) {
    while (next < jobs.size() && running.size() < options.jobs) {
      running[Launch(jobs[next].Arguments(options))] = jobs[next];
      ++next;
    }
    const pid_t ended = waitpid(-1, nullptr, 0);
    const auto found = running.find(ended);
    if (found != running.end()) {
      CollectReport(found->second, options, cells);
      running.erase(found);
    }
  }
}

bool IsWorse(const MatrixCell& cell, double value) {
  return cell.at_least ? value < cell.worst : value > cell.worst;
}

}  // namespace

Result<SeedRange> ParseSeeds(std::string_view text) {
  const std::size_t dash = text.find('-');
  const std::string_view first = text.substr(0, dash);
  const std::string_view last =
      dash == std::string_view::npos ? first : text.substr(dash + 1);
  SeedRange range;
  const auto parse = [](std::string_view digits, std::uint64_t* value) {
    const char* end = digits.data() + digits.size();
    const auto [stop, error] = std::from_chars(digits.data(), end, *value);
    return error == std::errc() && stop == end;
  };
  if (!parse(first, &range.first) || !parse(last, &range.last) ||
      range.last < range.first || range.last - range.first >= kMaxSeeds) {
    return Error{ResultCode::kUsage, "--seeds",
                 fmt::format("'{}' is not FIRST-LAST", text)};
  }
  return range;
}

Status AddReport(std::string_view report, std::vector<MatrixCell>* cells) {
  const auto json = nlohmann::json::parse(report, nullptr, false);
  if (!json.is_object() || !json.contains("checks")) {
    return Error{ResultCode::kMalformedJson, "",
                 "not a report with \"checks\""};
  }
  const std::string scenario =
      fs::path(json.at("scenario").get<std::string>()).stem();
  for (const auto& check : json.at("checks")) {
    MatrixCell cell;
    cell.scenario = scenario;
    cell.base = json.at("base");
    cell.total = check.at("total");
    cell.worst = check.at("value");
    cell.at_least = check.contains("at_least");
    cell.bound = check.at(cell.at_least ? "at_least" : "at_most");
    cell.ok = check.at("ok");
    cell.worst_seed = json.at("seed");
    const auto same =
        std::find_if(cells->begin(), cells->end(), [&](const MatrixCell& c) {
          return c.scenario == cell.scenario && c.base == cell.base &&
                 c.total == cell.total && c.at_least == cell.at_least;
        });
    if (same == cells->end()) {
      cells->push_back(cell);
    } else if (IsWorse(*same, cell.worst)) {
      *same = cell;
    }
  }
  return OkStatus();
}

std::string ToTable(const std::vector<MatrixCell>& cells) {
  std::vector<std::string> totals;
  std::map<std::string, std::map<std::string, std::string>> rows;
  for (const MatrixCell& cell : cells) {
    if (std::find(totals.begin(), totals.end(), cell.total) == totals.end()) {
      totals.push_back(cell.total);
    }
    rows[CellName(cell)][cell.total] =
        fmt::format("{:.4g}{}", cell.worst, cell.ok ? "" : " RED");
  }
  std::string text = "| scenario |";
  for (const std::string& total : totals) {
    text += fmt::format(" {} |", total);
  }
  text += "\n|---|";
  for (std::size_t i = 0; i < totals.size(); ++i) {
    text += "---|";
  }
  for (const auto& [name, row] : rows) {
    text += fmt::format("\n| {} |", name);
    for (const std::string& total : totals) {
      const auto found = row.find(total);
      text += fmt::format(" {} |", found == row.end() ? "" : found->second);
    }
  }
  return text + "\n";
}

Result<bool> RunMatrix(const MatrixOptions& options) {
  const std::string directory = fmt::format(
      "{}/gcw-matrix-{}", fs::temp_directory_path().string(), getpid());
  const auto jobs = ListJobs(options, directory);
  if (!jobs.ok()) {
    return jobs.error();
  }
  fs::create_directories(directory);
  std::vector<MatrixCell> cells;
  RunJobs(jobs.value(), options, &cells);
  std::error_code ignored;
  fs::remove_all(directory, ignored);
  fmt::print("\n{}", ToTable(cells));
  bool passed = !cells.empty();
  for (const MatrixCell& cell : cells) {
    if (!cell.ok) {
      passed = false;
      fmt::print("RED {} {}: {:.4g}, bound {} {:.4g}, seed {}\n",
                 CellName(cell), cell.total, cell.worst,
                 cell.at_least ? "at least" : "at most", cell.bound,
                 cell.worst_seed);
    }
  }
  fmt::print("{}\n", passed ? "PASSED" : "FAILED");
  return passed;
}

}  // namespace gcw::lab
