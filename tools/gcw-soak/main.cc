#include <fmt/format.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <charconv>
#include <csignal>
#include <filesystem>
#include <string>
#include <string_view>
#include <system_error>

#include "absl/time/clock.h"
#include "src/soak/soak_run.h"

namespace {

using gcw::soak::SoakOptions;
using gcw::soak::SoakReport;

constexpr std::int64_t kBytesPerMegabyte = 1'000'000;

int ExitCode(gcw::ResultCode code) {
  return static_cast<int>(code);
}

// Parses "A" or "A-B" into the first and last seed. Returns false if `text` is
// malformed or B is less than A.
bool ParseSeeds(std::string_view text,
                std::uint64_t* first,
                std::uint64_t* last) {
  const char* end = text.data() + text.size();
  auto parsed = std::from_chars(text.data(), end, *first);
  *last = *first;
  if (parsed.ec == std::errc() && parsed.ptr != end && *parsed.ptr == '-') {
    parsed = std::from_chars(parsed.ptr + 1, end, *last);
  }
  return parsed.ec == std::errc() && parsed.ptr == end && *last >= *first;
}

// Prints a summary of the run with `seed` and, if the run failed, its failures,
// findings and injected faults.
void Print(std::uint64_t seed, const SoakReport& report) {
  const auto& c = report.counts;
  fmt::print(
      "seed {}: {} ({} faults, {} of {} requests answered, "
      "{} of {} after the last fault, {} of {} in busy zones, "
      "{} MB at the peak)\n",
      seed, report.failures.empty() ? "held" : "FAILED", report.plan.size(),
      c.answered, c.requests, c.fault_free_answered, c.fault_free_requests,
      c.busy_zone_answered, c.busy_zone_requests,
      c.peak_resident_bytes / kBytesPerMegabyte);
  if (report.failures.empty()) {
    std::fflush(stdout);
    return;
  }
  for (const std::string& failure : report.failures) {
    fmt::print("  {}\n", failure);
  }
  for (const std::string& finding : report.findings) {
    fmt::print("  {}\n", finding);
  }
  for (const gcw::soak::Fault& fault : report.plan) {
    fmt::print("  fault {}\n", gcw::soak::ToString(fault));
  }
  std::fflush(stdout);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Runs real gcw-direct processes while injecting random faults.");
  std::string seeds = "1-1";
  double minutes = 0;
  double seconds = 40;
  SoakOptions options;
  options.program =
      (std::filesystem::path(argv[0]).parent_path() / "gcw-direct").string();
  options.work_dir = fmt::format("/tmp/gcw-soak-{}", getpid());
  app.add_option("--seeds", seeds, "seeds to run, A-B or A");
  app.add_option("--minutes", minutes, "then run further seeds for this long");
  app.add_option("--length", seconds, "length of one run in seconds")
      ->check(CLI::Range(15.0, 3600.0));
  app.add_flag("--restores,!--no-restores", options.added.restores,
               "restore the store from older copies during the runs");
  app.add_flag("--silent-connections,!--no-silent-connections",
               options.added.silent_connections,
               "let open connections to the store go silent for good");
  app.add_flag("--odd-entries,!--no-odd-entries", options.added.odd_entries,
               "leave odd entries among those of the servers for some time");
  app.add_flag("--exhaustion,!--no-exhaustion", options.added.exhaustion,
               "use up memory, descriptors and ports of daemons");
  app.add_flag("--load-patterns,!--no-load-patterns",
               options.added.load_patterns,
               "busy zones and slow servers, also in a phase after each run");
  app.add_flag("--late-reports,!--no-late-reports", options.added.late_reports,
               "execute reports of servers that restart or drain late");
  app.add_flag("--cold-servers,!--no-cold-servers", options.added.cold_servers,
               "servers that are cold when they or their zone are back, and "
               "idle flows");
  app.add_option("--daemons", options.daemons_per_zone,
                 "daemons in each of 3 availability zones")
      ->check(CLI::Range(1, 60));
  app.add_option("--servers", options.servers_per_zone,
                 "backend servers in each zone")
      ->check(CLI::Range(1, 60));
  app.add_option("--callers", options.callers_per_zone, "callers in each zone")
      ->check(CLI::Range(1, 100));
  app.add_option("--program", options.program, "path of gcw-direct");
  app.add_option("--work-dir", options.work_dir,
                 "directory for settings and logs");
  CLI11_PARSE(app, argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  options.length = absl::Seconds(seconds);
  std::uint64_t first = 0;
  std::uint64_t last = 0;
  if (!ParseSeeds(seeds, &first, &last)) {
    fmt::print(stderr, "gcw-soak: --seeds takes A or A-B, not '{}'\n", seeds);
    return ExitCode(gcw::ResultCode::kUsage);
  }
  const std::string base = options.work_dir;
  const auto run_seed = [&](std::uint64_t seed) {
    options.seed = seed;
    options.work_dir = fmt::format("{}/{}", base, seed);
    std::filesystem::create_directories(options.work_dir);
    const auto report = gcw::soak::RunSoak(options);
    if (!report.ok()) {
      fmt::print(stderr, "gcw-soak: {}\n", gcw::ToString(report.error()));
      std::exit(ExitCode(report.error().code));
    }
    Print(seed, report.value());
    if (report.value().failures.empty()) {
      std::filesystem::remove_all(options.work_dir);
      return true;
    }
    fmt::print("  logs in {}\n", options.work_dir);
    return false;
  };
  int failed = 0;
  int held = 0;
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    ++(run_seed(seed) ? held : failed);
  }
  const absl::Time deadline = absl::Now() + absl::Minutes(minutes);
  // Starts from the clock, so that each invocation tries other seeds.
  std::uint64_t extra_seed =
      static_cast<std::uint64_t>(absl::ToUnixMicros(absl::Now()));
  while (minutes > 0 && absl::Now() < deadline) {
    ++(run_seed(extra_seed++) ? held : failed);
  }
  fmt::print("{} runs held, {} failed\n", held, failed);
  return failed == 0 ? 0 : ExitCode(gcw::ResultCode::kCheckFailed);
}
