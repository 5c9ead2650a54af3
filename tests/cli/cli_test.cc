#include "gcw/cli/cli.h"

#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "absl/time/clock.h"
#include "src/cli/apply_plan.h"
#include "tests/api/api_fixture.h"

namespace gcw::cli {
namespace {

using api::ApiFixture;
using api::json;
using api::kPoolToken;
using api::kTaysideToken;
using api::kValtellinaToken;
using config::Version;

// A temporary file, which the destructor deletes.
class TempFile {
 public:
  explicit TempFile(const std::string& text) {
    char path[] = "/tmp/gcw-cli-test-XXXXXX";
    const int fd = mkstemp(path);
    REQUIRE(fd >= 0);
    close(fd);
    path_ = path;
    std::ofstream(path_) << text;
  }
  ~TempFile() { unlink(path_.c_str()); }
  TempFile(const TempFile&) = delete;
  TempFile& operator=(const TempFile&) = delete;

  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

// The exit code and the output of one run of gcw.
struct Outcome {
  int code = 0;
  std::string out;
  std::string err;
};

Outcome RunPlain(const std::vector<std::string>& args) {
  std::ostringstream out;
  std::ostringstream err;
  const int code = RunCli(args, out, err);
  return {code, out.str(), err.str()};
}

// Runs gcw with `token` against the API of `fixture`.
Outcome Run(const ApiFixture& fixture,
            const std::string& token,
            std::vector<std::string> args) {
  const TempFile token_file(token + "\n");
  const std::string api = "http://" + ToString(fixture.api->endpoint());
  args.insert(args.end(), {"--api", api, "--token-file", token_file.path(),
                           "--timeout", "5"});
  return RunPlain(args);
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

std::string DocumentText() {
  return R"({
    "servers": [{"name": "s1", "organisation": "tayside", "address": "10.2.0.1:9000",
                 "zone": "tirano", "slots": 2}],
    "services": [{"name": "desk", "organisation": "tayside",
                  "addresses": ["10.3.0.1:80"],
                  "servers": [{"server": "s1"}, {"server": "shared"}]}]})";
}

int Number(ResultCode code) {
  return static_cast<int>(code);
}

TEST_CASE(
    "apply shows a diff, applies a file, and changes nothing when repeated") {
  ApiFixture fixture;
  const TempFile file(DocumentText());
  const Version before = fixture.platform->revision();
  const Outcome dry =
      Run(fixture, kTaysideToken, {"apply", "-f", file.path(), "--dry-run"});
  CHECK(dry.code == 0);
  CHECK(Contains(dry.out, "+ server s1\n"));
  CHECK(Contains(dry.out, "+ service desk\n"));
  CHECK(Contains(dry.out, "2 changed, 0 unchanged"));
  CHECK(fixture.platform->revision() == before);

  const Outcome applied =
      Run(fixture, kTaysideToken, {"apply", "-f", file.path()});
  INFO(applied.err);
  CHECK(applied.code == 0);
  CHECK(Contains(applied.out, "2 changed, 0 unchanged"));
  const Outcome again =
      Run(fixture, kTaysideToken, {"apply", "-f", file.path()});
  CHECK(Contains(again.out, "0 changed, 2 unchanged"));

  json document = json::parse(DocumentText());
  document["services"][0]["limits"] = {{"queue", 9}};
  const TempFile changed(document.dump());
  const Outcome diff =
      Run(fixture, kTaysideToken, {"apply", "-f", changed.path(), "--dry-run"});
  CHECK(Contains(diff.out, "~ service desk\n    limits: "));
  CHECK(Contains(diff.out, "1 changed, 1 unchanged"));
  CHECK(Run(fixture, kTaysideToken, {"apply", "-f", changed.path()}).code == 0);
  const Outcome shown =
      Run(fixture, kTaysideToken, {"get", "service", "desk", "-o", "json"});
  CHECK(json::parse(shown.out).at("spec").at("limits").at("queue") == 9);
}

TEST_CASE("apply names every error of a file and writes nothing") {
  ApiFixture fixture;
  const Version before = fixture.platform->revision();
  json document = json::parse(DocumentText());
  document["services"][0]["addresses"] = {"x"};
  document["servers"][0]["slots"] = 0;
  const TempFile broken(document.dump());
  const Outcome outcome =
      Run(fixture, kTaysideToken, {"apply", "-f", broken.path()});
  CHECK(outcome.code == Number(ResultCode::kApiRefused));
  CHECK(Contains(outcome.err, "services[0].addresses[0]"));
  CHECK(Contains(outcome.err, "servers[0].slots"));

  document = json::parse(DocumentText());
  document["services"][0]["servers"][0]["server"] = "nowhere";
  const TempFile dangling(document.dump());
  const Outcome refused =
      Run(fixture, kTaysideToken, {"apply", "-f", dangling.path()});
  CHECK(refused.code == Number(ResultCode::kApiRefused));
  CHECK(Contains(refused.err, "service desk.servers[0].server"));
  CHECK(fixture.platform->revision() == before);
}

TEST_CASE(
    "backend servers are drained and zones taken out, and both put back") {
  ApiFixture fixture;
  const auto state = [&](const char* kind, const char* name) {
    return json::parse(
               Run(fixture, kPoolToken, {"get", kind, name, "-o", "json"}).out)
        .at("spec")
        .at("state")
        .get<std::string>();
  };
  CHECK(Run(fixture, kPoolToken, {"drain", "shared"}).code == 0);
  CHECK(state("server", "shared") == "draining");
  CHECK(Run(fixture, kPoolToken, {"undrain", "shared"}).code == 0);
  CHECK(state("server", "shared") == "in");
  CHECK(Run(fixture, kPoolToken, {"zone", "out", "tirano"}).code == 0);
  CHECK(state("zone", "tirano") == "out");
  CHECK(Run(fixture, kPoolToken, {"zone", "in", "tirano"}).code == 0);
  CHECK(state("zone", "tirano") == "in");

  const Outcome forbidden =
      Run(fixture, kTaysideToken, {"zone", "out", "tirano"});
  CHECK(forbidden.code == Number(ResultCode::kApiRefused));
  CHECK(Contains(forbidden.err, "107 forbidden"));
}

// Guards against a drain that is refused because another operator's write
// changed the version between the read and the patch.
TEST_CASE("a drain succeeds while another operator writes the same server") {
  ApiFixture fixture;
  std::atomic<bool> done = false;
  std::thread other([&] {
    api::Operator pool = fixture.MakeOperator(kPoolToken);
    for (int slots = 1; !done; ++slots) {
      pool.Patch("/v1/servers/shared", {{"slots", slots % 50 + 1}});
    }
  });
  const auto run = [&](std::string_view command) {
    const Outcome outcome =
        Run(fixture, kPoolToken, {std::string(command), "shared"});
    INFO(outcome.err);
    CHECK(outcome.code == 0);
  };
  for (int i = 0; i < 5; ++i) {
    run("drain");
    run("undrain");
  }
  run("drain");
  done = true;
  other.join();
  const Outcome shown =
      Run(fixture, kPoolToken, {"get", "server", "shared", "-o", "json"});
  CHECK(json::parse(shown.out).at("spec").at("state") == "draining");
}

TEST_CASE("commands succeed although answers of the platform are lost") {
  ApiFixture fixture;
  fixture.platform->SetLostAnswers(0.3);
  const TempFile file(DocumentText());
  for (int i = 0; i < 5; ++i) {
    CHECK(Run(fixture, kTaysideToken, {"apply", "-f", file.path()}).code == 0);
    CHECK(Run(fixture, kTaysideToken, {"drain", "s1"}).code == 0);
    CHECK(Run(fixture, kTaysideToken, {"delete", "service", "desk"}).code == 0);
    CHECK(Run(fixture, kTaysideToken, {"delete", "server", "s1"}).code == 0);
  }
  CHECK(Run(fixture, kTaysideToken, {"list", "services"}).code == 0);
}

// Writes a status of zone tirano whose only daemon has `revision` in force.
void ReportRevision(ApiFixture& fixture, Version revision) {
  const json value = {
      {"at", absl::ToUnixMillis(absl::Now())},
      {"daemons", {{{"name", "entry1"}, {"revision", revision}}}}};
  const auto old = fixture.platform->Get("status/zone/tirano");
  const Version version = old.ok() ? old.value().version : 0;
  fixture.platform->Put("status/zone/tirano", value.dump(), version).ok();
}

// The restored platform has lost the accepted change. Its later versions are
// higher, so the command took the change for one that is in force.
TEST_CASE("waiting tells that a restore may have lost the change") {
  ApiFixture fixture;
  ReportRevision(fixture, 1);
  fixture.platform->SaveCopy();
  std::thread restore([&] {
    absl::SleepFor(absl::Milliseconds(500));
    fixture.platform->Restore();
    ReportRevision(fixture, MakeStoreVersion(1, fixture.platform->revision()));
  });
  const Outcome outcome =
      Run(fixture, kPoolToken,
          {"zone", "out", "tirano", "--wait", "--wait-seconds", "10"});
  restore.join();
  CHECK(outcome.code == Number(ResultCode::kWaitTimedOut));
  CHECK(Contains(outcome.err, "restored"));
}

TEST_CASE(
    "waiting ends when all daemons have the version, or names those behind") {
  ApiFixture fixture;
  const auto report = [&](Version revision) {
    ReportRevision(fixture, revision);
  };
  report(1);
  const Outcome late =
      Run(fixture, kPoolToken,
          {"zone", "out", "tirano", "--wait", "--wait-seconds", "0.5"});
  CHECK(late.code == Number(ResultCode::kWaitTimedOut));
  CHECK(Contains(late.err, "entry1"));
  std::thread daemon([&] {
    absl::SleepFor(absl::Milliseconds(300));
    report(1'000'000);
  });
  const Outcome in_force =
      Run(fixture, kPoolToken,
          {"zone", "in", "tirano", "--wait", "--wait-seconds", "10"});
  daemon.join();
  CHECK(in_force.code == 0);
  CHECK(Contains(in_force.out, "in force everywhere"));
}

TEST_CASE("list, status, watch and get print their results") {
  ApiFixture fixture;
  const Outcome list = Run(fixture, kValtellinaToken, {"list", "servers"});
  CHECK(list.code == 0);
  CHECK(Contains(list.out, "NAME"));
  CHECK(Contains(list.out, "10.1.0.1:9000"));
  const Outcome status = Run(fixture, kValtellinaToken, {"status"});
  CHECK(status.code == 0);
  CHECK(Contains(status.out, "in force everywhere: unknown"));
  CHECK(Contains(status.out, "NO"));
  const Outcome watch =
      Run(fixture, kValtellinaToken, {"watch", "zone", "--count", "1"});
  CHECK(watch.code == 0);
  CHECK(json::parse(watch.out).at("name") == "tirano");
  const Outcome none = Run(fixture, kValtellinaToken, {"get", "zone", "none"});
  CHECK(none.code == Number(ResultCode::kApiRefused));
  CHECK(Contains(none.err, "104 not_found"));
}

TEST_CASE("errors of usage, files, tokens and the API have their exit codes") {
  ApiFixture fixture;
  const TempFile token(kPoolToken);
  const std::string api = "http://" + ToString(fixture.api->endpoint());
  const std::vector<std::vector<std::string>> wrong_usage = {
      {},
      {"fly"},
      {"get", "zone"},
      {"get", "moon", "x", "--api", api, "--token-file", token.path()},
      {"get", "zone", "A B", "--api", api, "--token-file", token.path()},
      {"zone", "up", "tirano"},
      {"list", "zones", "-o", "xml"},
      {"list", "zones", "--api", "ftp://x", "--token-file", token.path()},
      {"list", "zones", "--api", api},
      {"apply"},
      {"watch", "zones", "--after", "x"},
      {"drain", "s1", "--wait-seconds", "-1"},
  };
  for (const auto& args : wrong_usage) {
    const Outcome outcome = RunPlain(args);
    INFO((args.empty() ? "" : args.front()) << ": " << outcome.err);
    CHECK(outcome.code == Number(ResultCode::kUsage));
    CHECK_FALSE(outcome.err.empty());
  }
  CHECK(RunPlain({"--help"}).code == 0);
  CHECK(Contains(RunPlain({"--version"}).out, "gcw 0."));
  CHECK(Run(fixture, kPoolToken, {"apply", "-f", "/nowhere/x"}).code ==
        Number(ResultCode::kSettingsUnreadable));
  CHECK(Run(fixture, "pool.wrong", {"list", "zones"}).code ==
        Number(ResultCode::kApiRefused));
  const Outcome silent =
      RunPlain({"list", "zones", "--api", "http://127.0.0.1:1", "--token-file",
                token.path(), "--timeout", "0.3"});
  CHECK(silent.code == Number(ResultCode::kApiUnreachable));
}

TEST_CASE("the next API is tried when one does not answer") {
  ApiFixture fixture;
  const TempFile token(kPoolToken);
  const Outcome outcome = RunPlain(
      {"list", "zones", "--token-file", token.path(), "--api",
       "http://127.0.0.1:1,http://" + ToString(fixture.api->endpoint())});
  CHECK(outcome.code == 0);
}

TEST_CASE("hash-token prints a hash that verifies its token") {
  const TempFile token("tayside.abc\n");
  const Outcome outcome =
      RunPlain({"hash-token", "--token-file", token.path()});
  CHECK(outcome.code == 0);
  std::string hash = outcome.out;
  hash.pop_back();
  CHECK(auth::VerifyToken("tayside.abc", hash));
}

}  // namespace
}  // namespace gcw::cli
