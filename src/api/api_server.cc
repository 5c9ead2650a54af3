#include "gcw/api/api_server.h"

#include <fmt/format.h>
#include <httplib.h>

#include <atomic>
#include <charconv>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "gcw/platform/http_platform_client.h"
#include "src/api/http_server.h"
#include "src/api/message.h"
#include "src/api/resource_service.h"
#include "src/api/watch_stream.h"
#include "src/daemon/bind_failure.h"
#include "src/daemon/connection_thread_pool.h"

namespace gcw::api {
namespace {

using platform::HttpPlatformClient;

constexpr Logger kLog("api");
// What responses tell clients about idle connections; HttpServerLimits applies.
constexpr std::size_t kMaxCallsPerConnection = 100'000;
constexpr int kKeepAliveSeconds = 2;
constexpr std::size_t kMaxBodyBytes = std::size_t{512} * 1024;
constexpr char kJsonType[] = "application/json";
constexpr char kJsonLinesType[] = "application/x-ndjson";

// A pool of platform clients. Each API call takes one for its exclusive use and
// returns it at its end, except that a watch does not return its client.
// Thread-safe.
class ClientPool {
 public:
  explicit ClientPool(const platform::HttpPlatformOptions& options)
      : options_(options) {}

  std::unique_ptr<HttpPlatformClient> Take() {
    const absl::MutexLock lock(&mutex_);
    if (idle_.empty()) {
      return HttpPlatformClient::Make(options_);
    }
    std::unique_ptr<HttpPlatformClient> client = std::move(idle_.back());
    idle_.pop_back();
    return client;
  }

  void Return(std::unique_ptr<HttpPlatformClient> client) {
    const absl::MutexLock lock(&mutex_);
    idle_.push_back(std::move(client));
  }

 private:
  const platform::HttpPlatformOptions options_;
  absl::Mutex mutex_;
  std::vector<std::unique_ptr<HttpPlatformClient>> idle_
      ABSL_GUARDED_BY(mutex_);
};

std::optional<Method> ParseMethod(const std::string& text) {
  if (text == "GET") {
    return Method::kGet;
  }
  if (text == "POST") {
    return Method::kPost;
  }
  if (text == "PUT") {
    return Method::kPut;
  }
  if (text == "PATCH") {
    return Method::kPatch;
  }
  if (text == "DELETE") {
    return Method::kDelete;
  }
  return std::nullopt;
}

ApiRequest ReadRequest(Method method, const httplib::Request& http) {
  ApiRequest request;
  request.method = method;
  request.path = http.path;
  request.body = http.body;
  request.authorization = http.get_header_value("Authorization");
  request.if_match = http.get_header_value(std::string(kIfMatchField));
  request.if_created = http.get_header_value(std::string(kIfCreatedField));
  request.if_spec = http.get_header_value(std::string(kIfSpecField));
  request.operation_id = http.get_header_value(std::string(kOperationIdField));
  request.operation_after =
      http.get_header_value(std::string(kOperationAfterField));
  request.dry_run = http.get_param_value("dry_run") == "1";
  request.watch = http.get_param_value("watch") == "1";
  request.after = http.get_param_value("after");
  return request;
}

void WriteResponse(const ApiResponse& response, httplib::Response* http) {
  http->status = response.status;
  if (response.etag != 0) {
    http->set_header("ETag", fmt::format("\"{}\"", response.etag));
  }
  http->set_content(response.body + "\n", kJsonType);
}

// The error for a request that the HTTP library refused with `status`.
Error HttpLibraryError(int status) {
  switch (status) {
    case 413:
      return {ResultCode::kTooLarge, "", "the request is too large"};
    case 414:
      return {ResultCode::kTooLarge, "path", "the path is too long"};
    case 404:
      return {ResultCode::kNotFound, "path", "there is no such path"};
    case 400:
    case 416:
      return {ResultCode::kInvalidField, "", "the HTTP request is malformed"};
    default:
      return {ResultCode::kInternal, "",
              fmt::format("the HTTP server answered with status {}", status)};
  }
}

Result<Version> ParseAfter(const std::string& text) {
  Version after = 0;
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, after);
  if (!text.empty() && (error != std::errc() || end != last)) {
    return Error{ResultCode::kInvalidField, "after", "must be a version"};
  }
  return after;
}

}  // namespace

class ApiServer::Impl {
 public:
  explicit Impl(const ApiSettings& settings)
      : settings_(settings),
        clients_({.platform = settings.platform, .bind_ip = settings.bind}) {
    std::random_device random;
    seed_ = random();
  }

  ~Impl() {
    stopping_ = true;
    {
      const absl::MutexLock lock(&mutex_);
      for (HttpPlatformClient* client : watch_clients_) {
        client->CancelCall();
      }
    }
    server_.stop();
    if (thread_.joinable()) {
      thread_.join();
    }
    server_.StopConnections();
  }

  bool Start() {
    server_.set_keep_alive_max_count(kMaxCallsPerConnection);
    server_.set_keep_alive_timeout(kKeepAliveSeconds);
    server_.set_payload_max_length(kMaxBodyBytes);
    server_.set_tcp_nodelay(true);
    AddRoutes();
    const int port = daemon::BindServer(&server_, settings_.listen);
    if (port == 0 || !server_.Start()) {
      return false;
    }
    endpoint_ = {settings_.listen.ip, static_cast<std::uint16_t>(port)};
    thread_ = daemon::ServeOnThread(&server_);
    kLog.Info("Listening on {}.", ToString(endpoint_));
    return true;
  }

  Endpoint endpoint() const { return endpoint_; }

 private:
  void AddRoutes() {
    const auto handler = [this](const httplib::Request& request,
                                httplib::Response& response) {
      Handle(request, &response);
    };
    constexpr char kAnyPath[] = ".*";
    server_.Get(kAnyPath, handler);
    server_.Post(kAnyPath, handler);
    server_.Put(kAnyPath, handler);
    server_.Patch(kAnyPath, handler);
    server_.Delete(kAnyPath, handler);
    server_.Options(kAnyPath, handler);
    server_.set_error_handler([](const httplib::Request&,
                                 httplib::Response& response) {
      if (response.body.empty()) {
        const int status = response.status;
        WriteResponse(MakeErrorResponse(HttpLibraryError(status)), &response);
        response.status = status;
        // The library may not have read the request in full.
        HttpServer::CloseAfter(response);
      }
    });
  }

  void Handle(const httplib::Request& http, httplib::Response* response) {
    const std::optional<Method> method =
        ParseMethod(http.method == "HEAD" ? "GET" : http.method);
    if (!method.has_value()) {
      WriteResponse(MakeErrorResponse({ResultCode::kUnsupportedMethod, "",
                                       "the API does not support this method"}),
                    response);
      return;
    }
    const ApiRequest request = ReadRequest(*method, http);
    if (request.watch && request.method == Method::kGet) {
      StartWatch(request, response);
      return;
    }
    std::unique_ptr<HttpPlatformClient> client = clients_.Take();
    ResourceService service(client.get(), &settings_, NextSeed());
    WriteResponse(service.Handle(request), response);
    clients_.Return(std::move(client));
  }

  void StartWatch(const ApiRequest& request, httplib::Response* response) {
    const Result<Target> target = ParseTarget(request.path);
    const Result<Version> after = ParseAfter(request.after);
    if (!target.ok() || !after.ok()) {
      WriteResponse(
          MakeErrorResponse(target.ok() ? after.error() : target.error()),
          response);
      return;
    }
    if (target.value().kind != Target::Kind::kCollection) {
      WriteResponse(MakeErrorResponse({ResultCode::kInvalidField, "watch",
                                       "only a collection can be watched"}),
                    response);
      return;
    }
    std::shared_ptr<HttpPlatformClient> client = clients_.Take();
    const std::uint64_t seed = NextSeed();
    ResourceService service(client.get(), &settings_, seed);
    const Result<CallContext> context = service.LoadContext(request);
    if (!context.ok()) {
      WriteResponse(MakeErrorResponse(context.error()), response);
      return;
    }
    const auto stream = std::make_shared<WatchStream>(
        client.get(), target.value().resource_kind, context.value(),
        after.value(), seed);
    Register(client.get());
    response->set_chunked_content_provider(
        kJsonLinesType,
        [this, stream](std::size_t, httplib::DataSink& sink) {
          return WriteNextLines(stream.get(), &sink);
        },
        [this, client](bool) { Unregister(client.get()); });
  }

  // Writes the next lines of a watch to `sink`. Returns false if the write
  // fails, which closes the connection.
  bool WriteNextLines(WatchStream* stream, httplib::DataSink* sink) {
    const std::string lines = stopping_ ? "" : stream->Next();
    if (lines.empty() || stopping_) {
      sink->done();
      return true;
    }
    return sink->write(lines.data(), lines.size());
  }

  void Register(HttpPlatformClient* client) {
    const absl::MutexLock lock(&mutex_);
    watch_clients_.insert(client);
  }

  void Unregister(HttpPlatformClient* client) {
    const absl::MutexLock lock(&mutex_);
    watch_clients_.erase(client);
  }

  std::uint64_t NextSeed() { return seed_ + calls_.fetch_add(1); }

  const ApiSettings settings_;
  Endpoint endpoint_;
  ClientPool clients_;
  std::uint64_t seed_ = 0;
  std::atomic<std::uint64_t> calls_ = 0;
  std::atomic<bool> stopping_ = false;
  absl::Mutex mutex_;
  std::set<HttpPlatformClient*> watch_clients_ ABSL_GUARDED_BY(mutex_);

  HttpServer server_{{.idle_timeout = absl::Seconds(kKeepAliveSeconds)}};
  std::thread thread_;
};

Result<std::unique_ptr<ApiServer>> ApiServer::Make(
    const ApiSettings& settings) {
  auto impl = std::make_unique<Impl>(settings);
  if (!impl->Start()) {
    Error error = daemon::ExplainBindFailure(settings.listen);
    error.field = "listen";
    return error;
  }
  return std::unique_ptr<ApiServer>(new ApiServer(std::move(impl)));
}

ApiServer::ApiServer(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
ApiServer::~ApiServer() = default;

Endpoint ApiServer::endpoint() const {
  return impl_->endpoint();
}

}  // namespace gcw::api
