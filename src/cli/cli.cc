#include "gcw/cli/cli.h"

#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstddef>
#include <fstream>
#include <functional>
#include <iterator>
#include <utility>
#include <vector>

#include "gcw/auth/token_hash.h"
#include "gcw/config/object_reader.h"
#include "src/cli/commands.h"

namespace gcw::cli {
namespace {

constexpr char kVersionText[] = "gcw 0.1.0";
constexpr double kDefaultWaitSeconds = 30;
constexpr double kDefaultTimeoutSeconds = 15;

// The values of all options and arguments.
struct Arguments {
  std::string api;
  std::string token_file;
  std::string format = "table";
  double timeout_seconds = kDefaultTimeoutSeconds;
  bool wait = false;
  double wait_seconds = kDefaultWaitSeconds;
  std::string kind;
  std::string name;
  std::string direction;
  std::string file;
  bool dry_run = false;
  Version after = 0;
  std::size_t count = 0;
};

// The exit code for an error. Codes below 20 are exit codes themselves;
// platform failures become kApiUnreachable and all other codes kApiRefused.
int ExitCodeOf(ResultCode code) {
  switch (code) {
    case ResultCode::kPlatformUnavailable:
    case ResultCode::kPlatformRateLimited:
    case ResultCode::kPlatformOutcomeUnknown:
      return static_cast<int>(ResultCode::kApiUnreachable);
    default:
      break;
  }
  const int number = static_cast<int>(code);
  return number < 20 ? number : static_cast<int>(ResultCode::kApiRefused);
}

Result<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::string text{std::istreambuf_iterator<char>(file), {}};
  if (!file.is_open() || file.bad()) {
    return Error{ResultCode::kSettingsUnreadable, "",
                 fmt::format("the file '{}' cannot be read", path)};
  }
  return text;
}

Result<std::string> ReadToken(const std::string& path) {
  if (path.empty()) {
    return Error{ResultCode::kUsage, "--token-file",
                 "is required (or GCW_TOKEN_FILE)"};
  }
  Result<std::string> text = ReadFile(path);
  if (!text.ok()) {
    return text;
  }
  std::string token = std::move(text).value();
  token.erase(token.find_last_not_of(" \r\n\t") + 1);
  if (token.empty() || token.find_first_of(" \r\n\t") != std::string::npos) {
    return Error{ResultCode::kUsage, "--token-file",
                 "must hold one token and nothing else"};
  }
  return token;
}

using Command = std::function<Status(const Session&)>;

// Defines the subcommands and options of gcw, parses the command line and runs
// the command.
class CommandLine {
 public:
  CommandLine()
      : app_("Operates goldcrestwheel through its resource API.", "gcw") {
    app_.set_version_flag("--version", kVersionText);
    app_.require_subcommand(1);
    app_.fallthrough();
    AddGlobalOptions();
    AddReadCommands();
    AddWriteCommands();
    AddHashTokenCommand();
  }

  int Run(std::vector<std::string> args, std::ostream& out, std::ostream& err) {
    std::reverse(args.begin(), args.end());
    try {
      app_.parse(std::move(args));
    } catch (const CLI::ParseError& e) {
      const bool is_success = app_.exit(e, out, err) == 0;
      return static_cast<int>(is_success ? ResultCode::kOk
                                         : ResultCode::kUsage);
    }
    const Status status = Execute(out);
    if (status.ok()) {
      return static_cast<int>(ResultCode::kOk);
    }
    err << "gcw: " << ToString(status.error()) << "\n";
    return ExitCodeOf(status.error().code);
  }

 private:
  void AddGlobalOptions() {
    app_.add_option("--api", args_.api,
                    "Comma-separated URLs of the API, http://IP:PORT")
        ->envname("GCW_API");
    app_.add_option("--token-file", args_.token_file,
                    "File that holds the organisation's token")
        ->envname("GCW_TOKEN_FILE");
    app_.add_option("-o,--output", args_.format, "Output format: json or table")
        ->check(CLI::IsMember({"json", "table"}));
    app_.add_option("--timeout", args_.timeout_seconds,
                    "Time limit of one API call with retries, in seconds")
        ->check(CLI::Range(0.1, 3600.0));
  }

  CLI::App* AddCommand(const std::string& name,
                       const std::string& help,
                       Command command) {
    CLI::App* sub = app_.add_subcommand(name, help);
    sub->callback([this, command = std::move(command)] { command_ = command; });
    return sub;
  }

  void AddKindArgument(CLI::App* sub) {
    sub->add_option("kind", args_.kind, "organisation, service, server or zone")
        ->required();
  }

  void AddNameArgument(CLI::App* sub, const std::string& help) {
    sub->add_option("name", args_.name, help)->required();
  }

  void AddWaitOptions(CLI::App* sub) {
    sub->add_flag("--wait", args_.wait,
                  "Wait until the change is in force everywhere");
    sub->add_option("--wait-seconds", args_.wait_seconds,
                    "Longest time to wait, in seconds")
        ->check(CLI::Range(0.1, 86400.0));
  }

  void AddReadCommands() {
    CLI::App* get =
        AddCommand("get", "Show one resource", [this](const Session& session) {
          return WithId([&](const auto& id) { return RunGet(session, id); });
        });
    AddKindArgument(get);
    AddNameArgument(get, "Name of the resource");
    CLI::App* list = AddCommand(
        "list", "Show all resources of a kind", [this](const Session& session) {
          return WithKind([&](auto k) { return RunList(session, k); });
        });
    AddKindArgument(list);
    AddCommand("status",
               "Show the status of zones, daemons and backend servers",
               RunStatus);
    CLI::App* watch = AddCommand(
        "watch", "Follow changes of a kind", [this](const Session& session) {
          return WithKind([&](auto kind) {
            return RunWatch(session, kind, args_.after, args_.count);
          });
        });
    AddKindArgument(watch);
    watch->add_option("--after", args_.after, "Resume after this version");
    watch->add_option("--count", args_.count, "Exit after this many changes");
  }

  void AddWriteCommands() {
    CLI::App* apply =
        AddCommand("apply", "Create and change resources to match a file",
                   [this](const Session& s) { return Apply(s); });
    apply->add_option("-f,--file", args_.file, "JSON file")->required();
    apply->add_flag("--dry-run", args_.dry_run, "Only show the differences");
    AddWaitOptions(apply);
    CLI::App* remove = AddCommand(
        "delete", "Delete a resource", [this](const Session& session) {
          return WithId([&](const auto& id) { return RunDelete(session, id); });
        });
    AddKindArgument(remove);
    AddNameArgument(remove, "Name of the resource");
    AddWaitOptions(remove);
    AddServerStateCommand("drain", "Stop sending new work to a backend server",
                          "draining");
    AddServerStateCommand("undrain", "Send new work to a backend server again",
                          "in");
    CLI::App* zone = AddCommand(
        "zone", "Take an availability zone out of service or back in",
        [this](const Session& session) {
          return RunSetState(session, {config::ResourceKind::kZone, args_.name},
                             args_.direction);
        });
    zone->add_option("direction", args_.direction, "out or in")
        ->required()
        ->check(CLI::IsMember({"out", "in"}));
    AddNameArgument(zone, "Name of the availability zone");
    AddWaitOptions(zone);
  }

  void AddServerStateCommand(const std::string& command_name,
                             const std::string& help,
                             std::string state) {
    CLI::App* sub = AddCommand(
        command_name, help,
        [this, state = std::move(state)](const Session& session) {
          return RunSetState(
              session, {config::ResourceKind::kServer, args_.name}, state);
        });
    AddNameArgument(sub, "Name of the backend server");
    AddWaitOptions(sub);
  }

  void AddHashTokenCommand() {
    hash_token_ = app_.add_subcommand(
        "hash-token", "Print the hash of the token in --token-file");
  }

  template <typename Run>
  Status WithKind(const Run& run) {
    const Result<config::ResourceKind> kind = ParseKind(args_.kind);
    return kind.ok() ? run(kind.value()) : Status(kind.error());
  }

  template <typename Run>
  Status WithId(const Run& run) {
    return WithKind([&](config::ResourceKind kind) {
      return run(config::ResourceId{kind, args_.name});
    });
  }

  Status Apply(const Session& session) {
    const Result<std::string> text = ReadFile(args_.file);
    if (!text.ok()) {
      return text.error();
    }
    return RunApply(session, text.value(), args_.dry_run);
  }

  Status Execute(std::ostream& out) {
    const Result<std::string> token = ReadToken(args_.token_file);
    if (!token.ok()) {
      return token.error();
    }
    if (hash_token_->parsed()) {
      return PrintHash(token.value(), out);
    }
    if (!args_.name.empty() && !config::IsName(args_.name)) {
      return Error{ResultCode::kUsage, "NAME",
                   fmt::format("'{}' is not a resource name", args_.name)};
    }
    const Result<std::vector<Endpoint>> endpoints =
        ParseApiEndpoints(args_.api);
    if (!endpoints.ok()) {
      return endpoints.error();
    }
    ApiClient api({endpoints.value(), token.value(),
                   absl::Seconds(args_.timeout_seconds)});
    const bool is_json = args_.format == "json";
    return command_({&api, &out,
                     is_json ? OutputFormat::kJson : OutputFormat::kTable,
                     absl::Seconds(args_.wait ? args_.wait_seconds : 0)});
  }

  static Status PrintHash(const std::string& token, std::ostream& out) {
    const Result<std::string> hash = auth::HashToken(token);
    if (!hash.ok()) {
      return hash.error();
    }
    out << hash.value() << "\n";
    return OkStatus();
  }

  CLI::App app_;
  Arguments args_;
  Command command_;
  CLI::App* hash_token_ = nullptr;
};

}  // namespace

int RunCli(std::span<const std::string> args,
           std::ostream& out,
           std::ostream& err) {
  return CommandLine().Run({args.begin(), args.end()}, out, err);
}

}  // namespace gcw::cli
