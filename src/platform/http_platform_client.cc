#include "gcw/platform/http_platform_client.h"

#include <fmt/format.h>

#include <cstdint>
#include <iterator>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "src/platform/answer_epoch.h"
#include "src/platform/body_sink.h"
#include "src/platform/http_connection.h"

namespace gcw::platform {
namespace {

constexpr int kNotFoundStatus = 404;
constexpr int kConflictStatus = 409;
constexpr int kGoneStatus = 410;
constexpr int kRateLimitedStatus = 429;
constexpr char kJsonContentType[] = "application/json";
// The largest answer that is kept whole until it is decoded.
constexpr std::uint64_t kMaxBufferedBytes = 4 * 1024 * 1024;
// The largest answer that is decoded while it arrives: a page has at most about
// 500 objects of at most 1 MiB.
constexpr std::uint64_t kMaxStreamedBytes = 512 * 1024 * 1024;
// The most keys and values of a listing with all its pages.
constexpr std::size_t kMaxListingBytes = 64 * 1024 * 1024;

enum class CallKind { kRead, kWrite };

// Returns the error of a call whose exchange failed. A write that may have
// reached the platform has an unknown outcome.
Error ExchangeError(CallKind kind, const Error& error) {
  if (error.code == ResultCode::kPlatformUnavailable) {
    return error;
  }
  if (kind == CallKind::kWrite) {
    return {ResultCode::kPlatformOutcomeUnknown, "", error.message};
  }
  return error.code == ResultCode::kPlatformOutcomeUnknown
             ? Error{ResultCode::kPlatformUnavailable, "", error.message}
             : error;
}

ResultCode CodeOfStatus(int status) {
  switch (status) {
    case kNotFoundStatus:
      return ResultCode::kNotFound;
    case kConflictStatus:
      return ResultCode::kPlatformConflict;
    case kGoneStatus:
      return ResultCode::kPlatformCompacted;
    case kRateLimitedStatus:
      return ResultCode::kPlatformRateLimited;
    default:
      return status >= 500 ? ResultCode::kPlatformUnavailable
                           : ResultCode::kPlatformBadAnswer;
  }
}

// Returns the platform's epoch in an answer, or 0 if there is none.
Result<StoreEpoch> ReadEpoch(const HttpAnswer& answer) {
  return answer.header ? ParseEpoch(*answer.header) : Result<StoreEpoch>(0);
}

// The error of a call that was answered with a status other than success.
Error StatusError(int status) {
  return {CodeOfStatus(status), "",
          fmt::format("the platform answered with HTTP status {}", status)};
}

// The error of a call with a version from before the platform was restored.
Error FromBeforeRestore(ResultCode code) {
  return {code, "", "the platform was restored after this version"};
}

Error BadListing(std::string_view why) {
  return {ResultCode::kPlatformBadAnswer, "",
          fmt::format("the platform's listing is refused: {}", why)};
}

std::string_view MethodName(ApiMethod method) {
  switch (method) {
    case ApiMethod::kGet:
      return "GET";
    case ApiMethod::kPost:
      return "POST";
    case ApiMethod::kPut:
      return "PUT";
    case ApiMethod::kDelete:
      break;
  }
  return "DELETE";
}

bool HasBody(ApiMethod method) {
  return method == ApiMethod::kPost || method == ApiMethod::kPut;
}

// Passes a body to a ListDecoder or a WatchDecoder.
template <typename Decoder>
class DecoderSink : public BodySink {
 public:
  explicit DecoderSink(std::unique_ptr<Decoder> decoder)
      : decoder_(std::move(decoder)) {}

  Status OnBytes(std::string_view bytes) override {
    return decoder_->OnBytes(bytes);
  }

  // What the whole body says. Precondition: not called before.
  auto Finish() { return decoder_->Finish(); }

 private:
  const std::unique_ptr<Decoder> decoder_;
};

std::size_t SizeOf(const std::vector<Object>& objects) {
  std::size_t bytes = 0;
  for (const Object& object : objects) {
    bytes += object.key.size() + object.value.size();
  }
  return bytes;
}

HttpConnectionOptions ConnectionOptions(const HttpPlatformOptions& options) {
  return {.server = options.platform,
          .bind_ip = options.bind_ip,
          .connect_timeout = options.connect_timeout,
          .call_timeout = options.call_timeout,
          .keep_alive_interval = options.keep_alive_interval,
          .max_idle = options.max_idle};
}

}  // namespace

class HttpPlatformClient::Impl {
 public:
  explicit Impl(const HttpPlatformOptions& options)
      : options_(options), connection_(ConnectionOptions(options)) {}

  // Sends one request and passes the body of the answer to `sink`. Returns the
  // answer's epoch. `wait` is added to the usual timeout. Precondition: an
  // operation of connection() exists.
  Result<StoreEpoch> Call(const ApiRequest& request,
                          BodySink& sink,
                          std::uint64_t max_answer_bytes,
                          absl::Duration wait = absl::ZeroDuration()) {
    const CallKind kind =
        request.method == ApiMethod::kGet ? CallKind::kRead : CallKind::kWrite;
    const HttpExchange exchange{
        .method = MethodName(request.method),
        .target = request.target,
        .content_type = HasBody(request.method) ? kJsonContentType : "",
        .body = request.body,
        .header = format().EpochHeader(),
        .wait = wait,
        .max_answer_bytes = max_answer_bytes};
    const Result<HttpAnswer> answer = connection_.Exchange(exchange, sink);
    if (!answer.ok()) {
      return ExchangeError(kind, answer.error());
    }
    Result<StoreEpoch> epoch = ReadEpoch(answer.value());
    const Status current = CheckEpoch(epoch);
    if (!answer.value().IsSuccess()) {
      return StatusError(answer.value().status);
    }
    if (current.ok()) {
      return epoch;
    }
    // A write has been executed, but its version is not known.
    return kind == CallKind::kRead ? current.error()
                                   : Error{ResultCode::kPlatformOutcomeUnknown,
                                           "", current.error().message};
  }

  // Makes a write on the condition that the object has the version
  // `if_version`, and returns the version of the write. If the platform reports
  // success but the answer is invalid, the version is not known although the
  // write took effect, so the result is kPlatformOutcomeUnknown.
  Result<Version> Write(const ApiRequest& request, Version if_version) {
    if (if_version != 0 && IsBeforeRestore(if_version)) {
      return FromBeforeRestore(ResultCode::kPlatformConflict);
    }
    const HttpConnection::Operation operation(connection_);
    BufferSink sink;
    const Result<StoreEpoch> epoch = Call(request, sink, kMaxBufferedBytes);
    if (!epoch.ok()) {
      return epoch.error();
    }
    Result<Version> version = format().DecodeVersion(sink.body());
    if (version.ok()) {
      version = WithEpoch(epoch.value(), version.value());
    }
    if (!version.ok()) {
      return Error{ResultCode::kPlatformOutcomeUnknown, "",
                   version.error().message};
    }
    return version;
  }

  // Whether `version` is from before the latest restore that this client knows
  // of. The platform may have assigned its revision again since.
  bool IsBeforeRestore(Version version) const {
    return EpochOf(version) < latest_epoch_;
  }

  const ApiFormat& format() const { return *options_.format; }
  StoreEpoch epoch() const { return latest_epoch_; }

  HttpConnection& connection() { return connection_; }

 private:
  // Records the epoch of an answer. Fails if it cannot be read, or if the
  // answer is from before the latest restore: it was delayed and tells nothing
  // about the present state.
  Status CheckEpoch(const Result<StoreEpoch>& epoch) {
    if (!epoch.ok()) {
      return epoch.error();
    }
    if (epoch.value() < latest_epoch_) {
      return FromBeforeRestore(ResultCode::kPlatformUnavailable);
    }
    latest_epoch_ = epoch.value();
    return OkStatus();
  }

  HttpPlatformOptions options_;
  HttpConnection connection_;
  // The highest epoch in any answer.
  StoreEpoch latest_epoch_ = 0;
};

std::unique_ptr<HttpPlatformClient> HttpPlatformClient::Make(
    const HttpPlatformOptions& options) {
  return std::unique_ptr<HttpPlatformClient>(
      new HttpPlatformClient(std::make_unique<Impl>(options)));
}

HttpPlatformClient::HttpPlatformClient(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl)) {}
HttpPlatformClient::~HttpPlatformClient() = default;

Result<Listing> HttpPlatformClient::List(std::string_view prefix) {
  const HttpConnection::Operation operation(impl_->connection());
  Listing merged;
  std::optional<StoreEpoch> first_epoch;
  std::size_t merged_bytes = 0;
  std::string after;
  do {
    DecoderSink sink(impl_->format().MakeListDecoder(prefix));
    const Result<StoreEpoch> epoch = impl_->Call(
        impl_->format().List(prefix, after), sink, kMaxStreamedBytes);
    if (!epoch.ok()) {
      return epoch.error();
    }
    if (first_epoch.value_or(epoch.value()) != epoch.value()) {
      return Error{ResultCode::kPlatformUnavailable, "",
                   "the platform was restored between two pages"};
    }
    first_epoch = epoch.value();
    Result<ListPage> page = sink.Finish();
    if (!page.ok()) {
      return page.error();
    }
    Listing& page_listing = page.value().listing;
    merged_bytes += SizeOf(page_listing.objects);
    if (merged_bytes > kMaxListingBytes) {
      return BadListing("its pages are too large");
    }
    // The listing gets the revision of its first page, so that a watch after
    // that revision also reports changes made while the later pages were read.
    if (after.empty()) {
      merged.revision = page_listing.revision;
    }
    std::move(page_listing.objects.begin(), page_listing.objects.end(),
              std::back_inserter(merged.objects));
    merged.skipped.Add(page_listing.skipped);
    std::string next = std::move(page.value().continue_after);
    if (!next.empty() && next <= after) {
      return BadListing("its pages do not go on");
    }
    after = std::move(next);
  } while (!after.empty());
  return WithEpoch(*first_epoch, std::move(merged));
}

Result<Object> HttpPlatformClient::Get(std::string_view key) {
  const HttpConnection::Operation operation(impl_->connection());
  BufferSink sink;
  const Result<StoreEpoch> epoch =
      impl_->Call(impl_->format().Get(key), sink, kMaxBufferedBytes);
  if (!epoch.ok()) {
    return epoch.error();
  }
  Result<Object> object = impl_->format().DecodeObject(key, sink.body());
  if (!object.ok()) {
    return object;
  }
  return WithEpoch(epoch.value(), std::move(object).value());
}

Result<Version> HttpPlatformClient::Put(std::string_view key,
                                        std::string_view value,
                                        Version if_version) {
  return impl_->Write(impl_->format().Put(key, value, RevisionOf(if_version)),
                      if_version);
}

Result<Version> HttpPlatformClient::Delete(std::string_view key,
                                           Version if_version) {
  return impl_->Write(impl_->format().Delete(key, RevisionOf(if_version)),
                      if_version);
}

Result<WatchAnswer> HttpPlatformClient::Watch(std::string_view prefix,
                                              Version after,
                                              absl::Duration wait) {
  const bool from_start = after == 0;
  if (!from_start && impl_->IsBeforeRestore(after)) {
    return FromBeforeRestore(ResultCode::kPlatformCompacted);
  }
  const HttpConnection::Operation operation(impl_->connection());
  DecoderSink sink(impl_->format().MakeWatchDecoder(prefix));
  const Result<StoreEpoch> answered =
      impl_->Call(impl_->format().Watch(prefix, RevisionOf(after), wait), sink,
                  kMaxStreamedBytes, wait);
  if (!answered.ok()) {
    return answered.error();
  }
  const StoreEpoch epoch = answered.value();
  // If the epochs differ, the platform has looked for the events after another
  // change than the caller meant.
  if (!from_start && EpochOf(after) < epoch) {
    return FromBeforeRestore(ResultCode::kPlatformCompacted);
  }
  if (EpochOf(after) > epoch) {
    return FromBeforeRestore(ResultCode::kPlatformUnavailable);
  }
  Result<WatchAnswer> watched = sink.Finish();
  if (!watched.ok()) {
    return watched;
  }
  return WithEpoch(epoch, std::move(watched).value());
}

Result<std::vector<Vm>> HttpPlatformClient::Vms() {
  const HttpConnection::Operation operation(impl_->connection());
  BufferSink sink;
  const Result<StoreEpoch> epoch =
      impl_->Call(impl_->format().Vms(), sink, kMaxBufferedBytes);
  if (!epoch.ok()) {
    return epoch.error();
  }
  return impl_->format().DecodeVms(sink.body());
}

StoreEpoch HttpPlatformClient::epoch() const {
  return impl_->epoch();
}

void HttpPlatformClient::CancelCall() {
  impl_->connection().Cancel();
}

}  // namespace gcw::platform
