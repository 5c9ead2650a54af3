#include "gcw/platform/http_platform_client.h"

#include <fmt/format.h>
#include <httplib.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <optional>
#include <string>
#include <utility>

#include "src/platform/answer_epoch.h"

namespace gcw::platform {
namespace {

constexpr int kOkStatus = 200;
constexpr int kFirstRedirectStatus = 300;
constexpr int kNotFoundStatus = 404;
constexpr int kConflictStatus = 409;
constexpr int kGoneStatus = 410;
constexpr int kRateLimitedStatus = 429;
constexpr char kJsonContentType[] = "application/json";
// The kernel closes a connection after this many unanswered keep-alive probes.
constexpr int kMaxMissedProbes = 2;

enum class CallKind { kRead, kWrite };

// Returns whether the error shows that the request cannot have reached the
// platform.
bool FailedBeforeSending(httplib::Error error) {
  return error == httplib::Error::Connection ||
         error == httplib::Error::ConnectionTimeout ||
         error == httplib::Error::BindIPAddress;
}

// Returns the error of a call that got no answer. A write that may have reached
// the platform has an unknown outcome.
Error NoAnswer(CallKind kind, httplib::Error error) {
  const bool may_have_run =
      kind == CallKind::kWrite && !FailedBeforeSending(error);
  return {may_have_run ? ResultCode::kPlatformOutcomeUnknown
                       : ResultCode::kPlatformUnavailable,
          "",
          fmt::format("no answer from the platform: {}",
                      httplib::to_string(error))};
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

// A successful response.
struct Answer {
  std::string body;
  StoreEpoch epoch = 0;
};

// Returns the platform's epoch in the header `name`, or 0 if there is none.
Result<StoreEpoch> ReadEpoch(const httplib::Response& response,
                             const char* name) {
  return response.has_header(name) ? ParseEpoch(response.get_header_value(name))
                                   : Result<StoreEpoch>(0);
}

// The error of a call that was answered with a status other than success.
Error StatusError(int status) {
  return {CodeOfStatus(status), "",
          fmt::format("the platform answered with HTTP status {}", status)};
}

bool IsSuccess(int status) {
  return status >= kOkStatus && status < kFirstRedirectStatus;
}

// The error of a call with a version from before the platform was restored.
Error FromBeforeRestore(ResultCode code) {
  return {code, "", "the platform was restored after this version"};
}

// Turns on TCP keep-alive probes, so that a dead connection is closed.
void EnableKeepAlive(int socket, absl::Duration interval) {
  const int on = 1;
  const auto seconds = static_cast<int>(absl::ToInt64Seconds(interval));
  const auto timeout_ms = static_cast<unsigned>(
      absl::ToInt64Milliseconds(kMaxMissedProbes * interval));
  setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &seconds, sizeof(seconds));
  setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &seconds, sizeof(seconds));
  setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &kMaxMissedProbes,
             sizeof(kMaxMissedProbes));
  setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
             sizeof(timeout_ms));
}

}  // namespace

class HttpPlatformClient::Impl {
 public:
  explicit Impl(const HttpPlatformOptions& options)
      : options_(options),
        client_(IpToString(options.platform.ip), options.platform.port) {
    client_.set_keep_alive(true);
    client_.set_tcp_nodelay(true);
    client_.set_connection_timeout(
        absl::ToChronoMicroseconds(options.connect_timeout));
    client_.set_write_timeout(absl::ToChronoMicroseconds(options.call_timeout));
    if (options.bind_ip != 0) {
      client_.set_interface(IpToString(options.bind_ip));
    }
    if (options.keep_alive_interval > absl::ZeroDuration()) {
      client_.set_socket_options(
          [interval = options.keep_alive_interval](int socket) {
            EnableKeepAlive(socket, interval);
          });
    }
  }

  // Sends one request and waits for the response. `wait` is added to the usual
  // read timeout.
  Result<Answer> Call(const ApiRequest& request,
                      absl::Duration wait = absl::ZeroDuration()) {
    client_.set_read_timeout(
        absl::ToChronoMicroseconds(options_.call_timeout + wait));
    const CallKind kind =
        request.method == ApiMethod::kGet ? CallKind::kRead : CallKind::kWrite;
    CloseIfIdle();
    httplib::Result response = Send(request);
    last_call_end_ = std::chrono::steady_clock::now();
    if (!response) {
      return NoAnswer(kind, response.error());
    }
    const Result<StoreEpoch> epoch =
        ReadEpoch(*response, format().EpochHeader());
    const Status current = CheckEpoch(epoch);
    if (!IsSuccess(response->status)) {
      return StatusError(response->status);
    }
    if (current.ok()) {
      return Answer{std::move(response->body), epoch.value()};
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
    const Result<Answer> answer = Call(request);
    if (!answer.ok()) {
      return answer.error();
    }
    Result<Version> version = format().DecodeVersion(answer.value().body);
    if (version.ok()) {
      version = WithEpoch(answer.value().epoch, version.value());
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

  void CancelCall() { client_.stop(); }

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

  // Closes a connection that has been idle for too long. It may no longer work
  // although nothing shows it; the call would then wait for its timeout.
  void CloseIfIdle() {
    const auto idle = std::chrono::steady_clock::now() - last_call_end_;
    if (absl::FromChrono(idle) > options_.max_idle) {
      client_.stop();
    }
  }

  httplib::Result Send(const ApiRequest& request) {
    switch (request.method) {
      case ApiMethod::kGet:
        return client_.Get(request.target);
      case ApiMethod::kPost:
        return client_.Post(request.target, request.body, kJsonContentType);
      case ApiMethod::kPut:
        return client_.Put(request.target, request.body, kJsonContentType);
      case ApiMethod::kDelete:
        break;
    }
    return client_.Delete(request.target);
  }

  HttpPlatformOptions options_;
  httplib::Client client_;
  std::chrono::steady_clock::time_point last_call_end_ =
      std::chrono::steady_clock::now();
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
  Listing merged;
  std::optional<StoreEpoch> epoch;
  std::string after;
  do {
    const Result<Answer> answer =
        impl_->Call(impl_->format().List(prefix, after));
    if (!answer.ok()) {
      return answer.error();
    }
    if (epoch.value_or(answer.value().epoch) != answer.value().epoch) {
      return Error{ResultCode::kPlatformUnavailable, "",
                   "the platform was restored between two pages"};
    }
    epoch = answer.value().epoch;
    Result<ListPage> page =
        impl_->format().DecodeListPage(prefix, answer.value().body);
    if (!page.ok()) {
      return page.error();
    }
    Listing& page_listing = page.value().listing;
    // The listing gets the revision of its first page, so that a watch after
    // that revision also reports changes made while the later pages were read.
    if (after.empty()) {
      merged.revision = page_listing.revision;
    }
    std::move(page_listing.objects.begin(), page_listing.objects.end(),
              std::back_inserter(merged.objects));
    merged.skipped.Add(page_listing.skipped);
    after = std::move(page.value().continue_after);
  } while (!after.empty());
  return WithEpoch(*epoch, std::move(merged));
}

Result<Object> HttpPlatformClient::Get(std::string_view key) {
  const Result<Answer> answer = impl_->Call(impl_->format().Get(key));
  if (!answer.ok()) {
    return answer.error();
  }
  Result<Object> object =
      impl_->format().DecodeObject(key, answer.value().body);
  if (!object.ok()) {
    return object;
  }
  return WithEpoch(answer.value().epoch, std::move(object).value());
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
  const Result<Answer> answer =
      impl_->Call(impl_->format().Watch(prefix, RevisionOf(after), wait), wait);
  if (!answer.ok()) {
    return answer.error();
  }
  const StoreEpoch epoch = answer.value().epoch;
  // If the epochs differ, the platform has looked for the events after another
  // change than the caller meant.
  if (!from_start && EpochOf(after) < epoch) {
    return FromBeforeRestore(ResultCode::kPlatformCompacted);
  }
  if (EpochOf(after) > epoch) {
    return FromBeforeRestore(ResultCode::kPlatformUnavailable);
  }
  Result<WatchAnswer> watched =
      impl_->format().DecodeWatch(prefix, answer.value().body);
  if (!watched.ok()) {
    return watched;
  }
  return WithEpoch(epoch, std::move(watched).value());
}

Result<std::vector<Vm>> HttpPlatformClient::Vms() {
  const Result<Answer> answer = impl_->Call(impl_->format().Vms());
  if (!answer.ok()) {
    return answer.error();
  }
  return impl_->format().DecodeVms(answer.value().body);
}

StoreEpoch HttpPlatformClient::epoch() const {
  return impl_->epoch();
}

void HttpPlatformClient::CancelCall() {
  impl_->CancelCall();
}

}  // namespace gcw::platform
