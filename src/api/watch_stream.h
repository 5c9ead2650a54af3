#ifndef GCW_SRC_API_WATCH_STREAM_H_
#define GCW_SRC_API_WATCH_STREAM_H_

#include <cstdint>
#include <set>
#include <string>

#include "gcw/config/codec.h"
#include "gcw/platform/backoff.h"
#include "gcw/platform/platform_client.h"
#include "src/api/access.h"
#include "src/api/message.h"
#include "src/api/resource_service.h"

namespace gcw::api {

// The lines of one watch of the resources of a kind, each one JSON object:
//
// - {"type":"put","version",...,"spec"}: a resource as of that version;
// - {"type":"deleted","kind","name","version"};
// - {"type":"bookmark","version"}: nothing up to that version is missing; a
//   watch that was cut resumes after it;
// - {"type":"compacted"}: the position is too old; list again. The last line;
// - {"type":"error",...}: the platform fails; the stream goes on after it.
//
// Blocks; not thread-safe.
class WatchStream {
 public:
  // Starts with all resources as they are if `after` is 0, otherwise with what
  // came after that version. `client` must outlive the stream.
  WatchStream(platform::PlatformClient* client,
              config::ResourceKind kind,
              const CallContext& context,
              Version after,
              std::uint64_t seed);

  // Waits for the next lines. Empty only at the end.
  std::string Next();

 private:
  std::string FirstLines(const CallContext& context);
  std::string OnAnswer(const platform::WatchAnswer& answer);
  std::string OnFailure(const Error& error);
  std::string LineOf(const platform::WatchEvent& event);
  std::string Bookmark() const;

  platform::PlatformClient* client_;
  const config::ResourceKind kind_;
  const Identity identity_;
  Version after_;
  std::string pending_;
  bool ended_ = false;
  platform::Backoff backoff_;
  // Resources that are known to be another organisation's: their deletion is
  // not told.
  std::set<std::string> foreign_;
};

}  // namespace gcw::api

#endif  // GCW_SRC_API_WATCH_STREAM_H_
