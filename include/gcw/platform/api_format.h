#ifndef GCW_PLATFORM_API_FORMAT_H_
#define GCW_PLATFORM_API_FORMAT_H_

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "gcw/platform/answer_decoder.h"
#include "gcw/platform/platform_client.h"

namespace gcw::platform {

enum class ApiMethod { kGet, kPost, kPut, kDelete };

// An HTTP request to the platform's object API.
struct ApiRequest {
  ApiMethod method = ApiMethod::kGet;
  std::string target;  // Path and query.
  std::string body;    // JSON text; empty for kGet and kDelete.
};

// Encodes calls of an object API as HTTP requests and decodes the bodies of its
// responses. Implementations keep no state and are thread-safe.
//
// Each Decode method fails with kPlatformBadAnswer if the body is invalid.
class ApiFormat {
 public:
  virtual ~ApiFormat() = default;

  // The name of the response header that has the platform's epoch, a decimal
  // number. The epoch of a platform without the header is 0. All versions in
  // requests and in response bodies are revisions, without the epoch.
  virtual const char* EpochHeader() const = 0;

  // Encodes a call that lists the objects whose key starts with `prefix`. If
  // `after` is not empty, the listing starts with the first key after `after`.
  virtual ApiRequest List(std::string_view prefix,
                          std::string_view after) const = 0;
  // Encodes a call that reads the object at `key`.
  virtual ApiRequest Get(std::string_view key) const = 0;
  // Encodes a call that creates the object (`if_version` 0), or that replaces
  // the object if its current version is `if_version`.
  virtual ApiRequest Put(std::string_view key,
                         std::string_view value,
                         Version if_version) const = 0;
  // Encodes a call that deletes the object if its current version is
  // `if_version`.
  virtual ApiRequest Delete(std::string_view key, Version if_version) const = 0;
  // Encodes a call that waits at most `wait` for events after revision `after`.
  virtual ApiRequest Watch(std::string_view prefix,
                           Version after,
                           absl::Duration wait) const = 0;
  // Encodes a call that reads the list of VMs.
  virtual ApiRequest Vms() const = 0;

  // Returns a decoder of one response to a List() request with the same
  // `prefix`. This object must outlive it.
  virtual std::unique_ptr<ListDecoder> MakeListDecoder(
      std::string_view prefix) const = 0;
  // Returns a decoder of one response to a Watch() request with the same
  // `prefix`. This object must outlive it.
  virtual std::unique_ptr<WatchDecoder> MakeWatchDecoder(
      std::string_view prefix) const = 0;

  // Decodes the whole response to a List() request with the same `prefix`.
  Result<ListPage> DecodeListPage(std::string_view prefix,
                                  std::string_view body) const;
  // Decodes the response to a Get() request for `key`.
  virtual Result<Object> DecodeObject(std::string_view key,
                                      std::string_view body) const = 0;
  // Decodes the version of the write from the response to Put() or Delete().
  virtual Result<Version> DecodeVersion(std::string_view body) const = 0;
  // Decodes the whole response to a Watch() request with the same `prefix`.
  Result<WatchAnswer> DecodeWatch(std::string_view prefix,
                                  std::string_view body) const;
  // Decodes the response to a Vms() request.
  virtual Result<std::vector<Vm>> DecodeVms(std::string_view body) const = 0;
};

// Returns the object API format that docs/WIRE.md specifies: one flat key
// space, with each value next to its version. The object is never destroyed.
// Thread-safe.
const ApiFormat& FlatApiFormat();

}  // namespace gcw::platform

#endif  // GCW_PLATFORM_API_FORMAT_H_
