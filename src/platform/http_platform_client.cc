#include "gcw/platform/http_platform_client.h"

#include <fmt/format.h>
#include <httplib.h>

#include <string>
#include <utility>

#include "src/platform/platform_json.h"

namespace gcw::platform {
namespace {

constexpr int kOk = 200;
constexpr int kNotFoundStatus = 404;
constexpr int kConflictStatus = 409;
constexpr int kGoneStatus = 410;
constexpr int kRateLimitedStatus = 429;
constexpr char kJson[] = "application/json";

enum class CallKind { kRead, kWrite };

// Whether the call surely never reached the platform.
bool WasNeverSent(httplib::Error error) {
  return error == httplib::Error::Connection ||
         error == httplib::Error::ConnectionTimeout ||
         error == httplib::Error::BindIPAddress;
}

Error NoAnswer(CallKind kind, httplib::Error error) {
  const bool may_have_run = kind == CallKind::kWrite && !WasNeverSent(error);
  return {may_have_run ? ResultCode::kPlatformOutcomeUnknown
                       : ResultCode::kPlatformUnavailable,
          "", fmt::format("no answer: {}", httplib::to_string(error))};
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

// The body of a successful call, or its error.
Result<std::string> BodyOf(CallKind kind, httplib::Result result) {
  if (!result) {
    return NoAnswer(kind, result.error());
  }
  if (result->status != kOk) {
    return Error{CodeOfStatus(result->status), "",
                 fmt::format("the platform answered {}", result->status)};
  }
  return std::move(result->body);
}

// A write that succeeded but whose answer is garbled did take effect.
Result<Version> VersionOfWrite(const Result<std::string>& body) {
  if (!body.ok()) {
    return body.error();
  }
  Result<Version> version = DecodeVersion(body.value());
  if (!version.ok()) {
    return Error{ResultCode::kPlatformOutcomeUnknown, "",
                 version.error().message};
  }
  return version;
}

std::string WithParams(const std::string& path, const httplib::Params& params) {
  return httplib::append_query_params(path, params);
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
  }

  Result<std::string> Get(const std::string& path,
                          const httplib::Params& params,
                          absl::Duration wait = absl::ZeroDuration()) {
    SetTimeout(wait);
    return BodyOf(CallKind::kRead, client_.Get(WithParams(path, params)));
  }

  Result<std::string> Put(const std::string& path,
                          const httplib::Params& params,
                          std::string_view body) {
    SetTimeout(absl::ZeroDuration());
    return BodyOf(CallKind::kWrite, client_.Put(WithParams(path, params),
                                                std::string(body), kJson));
  }

  Result<std::string> Delete(const std::string& path,
                             const httplib::Params& params) {
    SetTimeout(absl::ZeroDuration());
    return BodyOf(CallKind::kWrite, client_.Delete(WithParams(path, params)));
  }

  void Stop() { client_.stop(); }

 private:
  void SetTimeout(absl::Duration wait) {
    client_.set_read_timeout(
        absl::ToChronoMicroseconds(options_.call_timeout + wait));
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
  const Result<std::string> body =
      impl_->Get("/v1/objects", {{"prefix", std::string(prefix)}});
  if (!body.ok()) {
    return body.error();
  }
  return DecodeListing(body.value());
}

Result<Object> HttpPlatformClient::Get(std::string_view key) {
  const Result<std::string> body =
      impl_->Get("/v1/object", {{"key", std::string(key)}});
  if (!body.ok()) {
    return body.error();
  }
  return DecodeObject(body.value());
}

Result<Version> HttpPlatformClient::Put(std::string_view key,
                                        std::string_view value,
                                        Version if_version) {
  return VersionOfWrite(impl_->Put(
      "/v1/object",
      {{"key", std::string(key)}, {"if_version", fmt::to_string(if_version)}},
      value));
}

Result<Version> HttpPlatformClient::Delete(std::string_view key,
                                           Version if_version) {
  return VersionOfWrite(impl_->Delete(
      "/v1/object",
      {{"key", std::string(key)}, {"if_version", fmt::to_string(if_version)}}));
}

Result<WatchAnswer> HttpPlatformClient::Watch(std::string_view prefix,
                                              Version after,
                                              absl::Duration wait) {
  const Result<std::string> body =
      impl_->Get("/v1/watch",
                 {{"prefix", std::string(prefix)},
                  {"after", fmt::to_string(after)},
                  {"wait_ms", fmt::to_string(absl::ToInt64Milliseconds(wait))}},
                 wait);
  if (!body.ok()) {
    return body.error();
  }
  return DecodeWatch(body.value());
}

Result<std::vector<Vm>> HttpPlatformClient::Vms() {
  const Result<std::string> body = impl_->Get("/v1/vms", {});
  if (!body.ok()) {
    return body.error();
  }
  return DecodeVms(body.value());
}

void HttpPlatformClient::Stop() {
  impl_->Stop();
}

}  // namespace gcw::platform
