#include "gcw/platform/http_platform_client.h"

#include <fmt/format.h>
#include <httplib.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <charconv>
#include <iterator>
#include <string>
#include <utility>

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
  Epoch epoch = 0;
};

// Returns the platform's epoch in the header `name`, or 0 if there is none.
Result<Epoch> EpochOf(const httplib::Response& response, const char* name) {
  Epoch epoch = 0;
  if (!response.has_header(name)) {
    return epoch;
  }
  const std::string text = response.get_header_value(name);
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, epoch);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return Error{ResultCode::kPlatformBadAnswer, name, "is not a number"};
  }
  return epoch;
}

// Returns the response of a successful call, or the error of a failed one.
Result<Answer> AnswerOf(CallKind kind,
                        httplib::Result result,
                        const char* epoch_header) {
  if (!result) {
    return NoAnswer(kind, result.error());
  }
  if (result->status < kOkStatus || result->status >= kFirstRedirectStatus) {
    return Error{CodeOfStatus(result->status), "",
                 fmt::format("the platform answered with HTTP status {}",
                             result->status)};
  }
  const Result<Epoch> epoch = EpochOf(*result, epoch_header);
  if (!epoch.ok()) {
    // The platform has executed the call.
    return kind == CallKind::kRead ? epoch.error()
                                   : Error{ResultCode::kPlatformOutcomeUnknown,
                                           "", ToString(epoch.error())};
  }
  return Answer{std::move(result->body), epoch.value()};
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
    return AnswerOf(kind, Send(request), format().EpochHeader());
  }

  // Makes a write and returns its version. If the platform reports success but
  // the body is invalid, the version is not known although the write took
  // effect, so the result is kPlatformOutcomeUnknown.
  Result<Version> Write(const ApiRequest& request) {
    const Result<Answer> answer = Call(request);
    if (!answer.ok()) {
      return answer.error();
    }
    Result<Version> version = format().DecodeVersion(answer.value().body);
    if (!version.ok()) {
      return Error{ResultCode::kPlatformOutcomeUnknown, "",
                   version.error().message};
    }
    return version;
  }

  const ApiFormat& format() const { return *options_.format; }

  void CancelCall() { client_.stop(); }

 private:
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
  std::string after;
  do {
    const Result<Answer> answer =
        impl_->Call(impl_->format().List(prefix, after));
    if (!answer.ok()) {
      return answer.error();
    }
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
      merged.epoch = answer.value().epoch;
    }
    std::move(page_listing.objects.begin(), page_listing.objects.end(),
              std::back_inserter(merged.objects));
    after = std::move(page.value().continue_after);
  } while (!after.empty());
  return merged;
}

Result<Object> HttpPlatformClient::Get(std::string_view key) {
  const Result<Answer> answer = impl_->Call(impl_->format().Get(key));
  if (!answer.ok()) {
    return answer.error();
  }
  return impl_->format().DecodeObject(key, answer.value().body);
}

Result<Version> HttpPlatformClient::Put(std::string_view key,
                                        std::string_view value,
                                        Version if_version) {
  return impl_->Write(impl_->format().Put(key, value, if_version));
}

Result<Version> HttpPlatformClient::Delete(std::string_view key,
                                           Version if_version) {
  return impl_->Write(impl_->format().Delete(key, if_version));
}

Result<WatchAnswer> HttpPlatformClient::Watch(std::string_view prefix,
                                              Version after,
                                              absl::Duration wait) {
  const Result<Answer> answer =
      impl_->Call(impl_->format().Watch(prefix, after, wait), wait);
  if (!answer.ok()) {
    return answer.error();
  }
  Result<WatchAnswer> watched =
      impl_->format().DecodeWatch(prefix, answer.value().body);
  if (watched.ok()) {
    watched.value().epoch = answer.value().epoch;
  }
  return watched;
}

Result<std::vector<Vm>> HttpPlatformClient::Vms() {
  const Result<Answer> answer = impl_->Call(impl_->format().Vms());
  if (!answer.ok()) {
    return answer.error();
  }
  return impl_->format().DecodeVms(answer.value().body);
}

void HttpPlatformClient::CancelCall() {
  impl_->CancelCall();
}

}  // namespace gcw::platform
