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

// Produces the output of one watch of the resources of a kind. Each line is one
// JSON object:
//
// - {"type":"put","version",...,"spec"}: a resource at that version;
// - {"type":"deleted","kind","name","version"}: a deleted resource;
// - {"type":"bookmark","version"}: all changes up to that version have been
//   sent; an interrupted watch can resume after it;
// - {"type":"compacted"}: the platform no longer holds the changes after the
//   requested version, so the client has to list again. The last line;
// - {"type":"error",...}: a platform call failed; the stream continues.
//
// Blocks; not thread-safe.
class WatchStream {
 public:
  // Starts with the current state of all resources if `after` is 0, otherwise
  // with the changes after that version. `client` must outlive the stream.
  WatchStream(platform::PlatformClient* client,
              config::ResourceKind kind,
              const CallContext& context,
              Version after,
              std::uint64_t seed);

  // Blocks until there are more lines and returns them. Empty only at the end
  // of the stream.
  std::string Next();

 private:
  std::string InitialLines(const CallContext& context);
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
  // Keys of resources that the caller may not see. Their deletion is not
  // reported.
  std::set<std::string> hidden_keys_;
};

}  // namespace gcw::api

#endif  // GCW_SRC_API_WATCH_STREAM_H_
