#ifndef GCW_SRC_CLI_COMMANDS_H_
#define GCW_SRC_CLI_COMMANDS_H_

#include <ostream>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "gcw/base/result.h"
#include "gcw/config/codec.h"
#include "src/cli/api_client.h"

namespace gcw::cli {

enum class OutputFormat { kTable, kJson };

// The API client and the output options of a command.
struct Session {
  ApiClient* api = nullptr;
  std::ostream* out = nullptr;
  OutputFormat format = OutputFormat::kTable;
  // Longest time to wait until a change is in force everywhere; zero: do not
  // wait.
  absl::Duration wait = absl::ZeroDuration();
};

// Parses a resource kind in the singular or plural, such as "service" or
// "services". Fails with kUsage.
Result<config::ResourceKind> ParseKind(std::string_view word);

// Each function runs one command and writes its result to the session's stream.
// Errors are those of ApiClient, or kWaitTimedOut if an accepted change is not
// in force everywhere within `Session::wait`.
Status RunGet(const Session& session, const config::ResourceId& id);
Status RunList(const Session& session, config::ResourceKind kind);
Status RunDelete(const Session& session, const config::ResourceId& id);
// Creates and changes resources to match the document (see ParseDocument, whose
// errors are returned too). With `dry_run` only prints the differences.
Status RunApply(const Session& session,
                std::string_view document,
                bool dry_run);
// Sets the state of a backend server or an availability zone. If another
// operator writes the resource at the same time, the change is applied to the
// new version, provided that the resource was not deleted and created again and
// its state has not changed; otherwise fails with kVersionConflict.
Status RunSetState(const Session& session,
                   const config::ResourceId& id,
                   std::string_view state);
Status RunStatus(const Session& session);
// Prints the changes after version `after` (0: starts with the current state)
// and resumes after a lost connection. Returns after `count` changes (0:
// never). Fails with kPlatformCompacted if the platform no longer holds these
// changes.
Status RunWatch(const Session& session,
                config::ResourceKind kind,
                Version after,
                std::size_t count);

}  // namespace gcw::cli

#endif  // GCW_SRC_CLI_COMMANDS_H_
