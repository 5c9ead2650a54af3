#include "src/cli/api_client.h"

#include <fmt/format.h>
#include <httplib.h>

#include <cassert>
#include <cstddef>
#include <random>
#include <utility>

#include "absl/time/clock.h"
#include "gcw/platform/backoff.h"

namespace gcw::cli {
namespace {

using nlohmann::json;

constexpr std::string_view kUrlScheme = "http://";
constexpr int kUnavailableStatus = 503;
constexpr int kOutcomeUnknownStatus = 504;
constexpr int kConnectTimeoutSeconds = 2;
constexpr platform::BackoffOptions kBackoff{absl::Milliseconds(100),
                                            absl::Seconds(2)};

Error UnreachableError(std::string message) {
  return {ResultCode::kApiUnreachable, "", std::move(message)};
}

// The error in the JSON body of an error response.
Error ErrorInBody(int status, const std::string& body) {
  const json parsed = json::parse(body, nullptr, false);
  Error unreadable_body = UnreachableError(fmt::format(
      "the API answered with status {} and no error description", status));
  if (!parsed.is_object() || !parsed.contains("error")) {
    return unreadable_body;
  }
  try {
    const json& error = parsed.at("error");
    const auto code =
        ResultCodeFromNumber(error.at("code").get<std::uint16_t>());
    const std::string message =
        fmt::format("{}. {}", error.at("message").get<std::string>(),
                    error.at("what_to_do").get<std::string>());
    return {code.value_or(ResultCode::kApiRefused),
            error.at("field").get<std::string>(), message};
  } catch (const json::exception&) {
    return unreadable_body;
  }
}

// Whether a retry of the call may succeed. Retries of writes are safe, because
// they carry the same operation id.
bool IsRetryable(const httplib::Result& result) {
  return !result || result->status == kUnavailableStatus ||
         result->status == kOutcomeUnknownStatus;
}

Result<json> ReadAnswer(const httplib::Result& result) {
  if (!result) {
    return UnreachableError("no answer: " + httplib::to_string(result.error()));
  }
  if (result->status >= 400) {
    return ErrorInBody(result->status, result->body);
  }
  json body = json::parse(result->body, nullptr, false);
  if (body.is_discarded()) {
    return UnreachableError("the answer is not JSON");
  }
  return body;
}

std::string MakeOperationId() {
  std::random_device random;
  return fmt::format("gcw-{:08x}{:08x}{:08x}", random(), random(), random());
}

}  // namespace

Result<std::vector<Endpoint>> ParseApiEndpoints(std::string_view text) {
  std::vector<Endpoint> endpoints;
  while (true) {
    const std::size_t comma = text.find(',');
    std::string_view part = text.substr(0, comma);
    if (part.starts_with(kUrlScheme)) {
      part.remove_prefix(kUrlScheme.size());
    }
    if (part.ends_with('/')) {
      part.remove_suffix(1);
    }
    const Result<Endpoint> api = Endpoint::Parse(part);
    if (!api.ok()) {
      return Error{ResultCode::kUsage, "--api", api.error().message};
    }
    endpoints.push_back(api.value());
    if (comma == std::string_view::npos) {
      return endpoints;
    }
    text.remove_prefix(comma + 1);
  }
}

class ApiClient::Impl {
 public:
  explicit Impl(ApiClientOptions options)
      : options_(std::move(options)), seed_(std::random_device{}()) {
    assert(!options_.endpoints.empty());
    Connect();
  }

  Result<json> Call(httplib::Request request) {
    request.headers.emplace("Authorization", "Bearer " + options_.token);
    const absl::Time deadline = absl::Now() + options_.time_limit;
    platform::Backoff backoff(kBackoff, seed_++);
    while (true) {
      const httplib::Result result = Send(request, deadline);
      const absl::Duration pause = backoff.Next();
      if (!IsRetryable(result) || absl::Now() + pause > deadline) {
        return ReadAnswer(result);
      }
      absl::SleepFor(pause);
      SwitchToNextApi();
    }
  }

  Status Stream(const std::string& path,
                const std::function<bool(const json&)>& on_line) {
    std::string text;
    bool wants_more = true;
    // The API normally writes a line at least every 5 s. A watch that is silent
    // for 30 s is treated as disconnected.
    client_->set_read_timeout(absl::ToChronoMicroseconds(absl::Seconds(30)));
    const httplib::Result result = client_->Get(
        path, {{"Authorization", "Bearer " + options_.token}},
        [&](const char* data, std::size_t size) {
          text.append(data, size);
          wants_more = wants_more && ProcessCompleteLines(&text, on_line);
          return wants_more;
        });
    if (!wants_more) {
      Connect();
      return OkStatus();
    }
    if (!result) {
      SwitchToNextApi();
      return UnreachableError("no answer: " +
                              httplib::to_string(result.error()));
    }
    if (result->status >= 400) {
      return ErrorInBody(result->status, text);
    }
    return OkStatus();
  }

 private:
  void Connect() {
    const Endpoint& api =
        options_.endpoints[api_index_ % options_.endpoints.size()];
    client_ = std::make_unique<httplib::Client>(IpToString(api.ip), api.port);
    client_->set_keep_alive(true);
    client_->set_tcp_nodelay(true);
    client_->set_connection_timeout(kConnectTimeoutSeconds);
  }

  void SwitchToNextApi() {
    ++api_index_;
    Connect();
  }

  httplib::Result Send(const httplib::Request& request, absl::Time deadline) {
    const absl::Duration remaining =
        std::max(deadline - absl::Now(), absl::Milliseconds(100));
    client_->set_read_timeout(absl::ToChronoMicroseconds(remaining));
    return client_->send(request);
  }

  // Removes the complete watch lines at the front of `text` and passes them to
  // `on_line`. Returns false if `on_line` does.
  static bool ProcessCompleteLines(
      std::string* text,
      const std::function<bool(const json&)>& on_line) {
    std::size_t end = 0;
    while ((end = text->find('\n')) != std::string::npos) {
      const json line = json::parse(text->substr(0, end), nullptr, false);
      // The body of an error response is not a watch line; it stays in `text`
      // for ErrorInBody.
      if (!line.is_object() || !line.contains("type")) {
        return true;
      }
      text->erase(0, end + 1);
      if (!on_line(line)) {
        return false;
      }
    }
    return true;
  }

  const ApiClientOptions options_;
  std::uint64_t seed_;
  std::size_t api_index_ = 0;
  std::unique_ptr<httplib::Client> client_;
};

ApiClient::ApiClient(ApiClientOptions options)
    : impl_(std::make_unique<Impl>(std::move(options))) {}
ApiClient::~ApiClient() = default;

Result<json> ApiClient::Get(const std::string& path) {
  httplib::Request request;
  request.method = "GET";
  request.path = path;
  return impl_->Call(std::move(request));
}

Result<json> ApiClient::Write(const std::string& method,
                              const std::string& path,
                              const json& body,
                              const Preconditions& preconditions) {
  httplib::Request request;
  request.method = method;
  request.path = path;
  if (!body.is_null()) {
    request.body = body.dump();
  }
  request.headers.emplace("Operation-Id", MakeOperationId());
  const auto add_version = [&](const char* name, Version version) {
    if (version != 0) {
      request.headers.emplace(name, fmt::to_string(version));
    }
  };
  add_version("If-Match", preconditions.if_match);
  add_version("If-Created", preconditions.if_created);
  add_version("Operation-After", preconditions.operation_after);
  if (!preconditions.if_spec.is_null()) {
    request.headers.emplace("If-Spec", preconditions.if_spec.dump());
  }
  return impl_->Call(std::move(request));
}

Status ApiClient::Stream(const std::string& path,
                         const std::function<bool(const json&)>& on_line) {
  return impl_->Stream(path, on_line);
}

}  // namespace gcw::cli
