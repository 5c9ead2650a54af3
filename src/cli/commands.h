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

// What all commands share.
struct Session {
  ApiClient* api = nullptr;
  std::ostream* out = nullptr;
  OutputFormat format = OutputFormat::kTable;
  // How long to wait until a change is in force everywhere; zero: not at all.
  absl::Duration wait = absl::ZeroDuration();
};

// The kind that an operator means: "service" or "services". Fails with kUsage.
Result<config::ResourceKind> ParseKind(std::string_view word);

// The commands. Each writes its result to the session's stream. Errors bear the
// code of the API, kApiUnreachable, or kWaitTimedOut.
Status RunGet(const Session& session, const config::ResourceId& id);
Status RunList(const Session& session, config::ResourceKind kind);
Status RunDelete(const Session& session, const config::ResourceId& id);
// Makes the resources what the document says; with `dry_run` only shows it.
Status RunApply(const Session& session,
                std::string_view document,
                bool dry_run);
// Sets the state of a backend server or an availability zone. If somebody else
// writes the resource at the same time, the change is made on the new version
// as long as the resource is the same one and its state is as it was; otherwise
// the conflict is told.
Status RunSetState(const Session& session,
                   const config::ResourceId& id,
                   std::string_view state);
Status RunStatus(const Session& session);
// Follows changes after `after` (0: from the start) and resumes when the
// connection is cut; ends after `count` changes (0: never).
Status RunWatch(const Session& session,
                config::ResourceKind kind,
                Version after,
                std::size_t count);

}  // namespace gcw::cli

#endif  // GCW_SRC_CLI_COMMANDS_H_
