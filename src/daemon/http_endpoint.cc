#include "src/daemon/http_endpoint.h"

#include <fmt/format.h>
#include <httplib.h>

#include <cassert>
#include <chrono>
#include <thread>
#include <utility>

#include "src/daemon/connection_thread_pool.h"

namespace gcw::daemon {
namespace {

// A connection that sends nothing for this long is closed, so that a stalled
// client does not occupy a thread.
constexpr std::chrono::milliseconds kReadTimeout{200};

}  // namespace

class HttpEndpoint::Impl {
 public:
  ~Impl() {
    server_.stop();
    if (thread_.joinable()) {
      thread_.join();
    }
  }

  // Binds and starts the server. Fails with kBindFailed.
  Status Listen(const HttpEndpointOptions& options, Handler handler) {
    server_.new_task_queue = [threads = options.threads] {
      return new httplib::ThreadPool(threads);
    };
    server_.set_keep_alive_max_count(1);
    server_.set_read_timeout(kReadTimeout);
    server_.Get(options.path,
                [handler = std::move(handler), type = options.content_type](
                    const httplib::Request&, httplib::Response& response) {
                  const HttpAnswer answer = handler();
                  response.status = answer.status;
                  response.set_content(answer.body, type);
                });
    const int port = BindServer(&server_, options.listen);
    if (port == 0) {
      return Error{ResultCode::kBindFailed, "",
                   fmt::format("cannot bind TCP {}", ToString(options.listen))};
    }
    endpoint_ = {options.listen.ip, static_cast<std::uint16_t>(port)};
    thread_ = ServeOnThread(&server_);
    return OkStatus();
  }

  Endpoint endpoint() const { return endpoint_; }

 private:
  httplib::Server server_;
  Endpoint endpoint_;
  std::thread thread_;
};

Result<std::unique_ptr<HttpEndpoint>> HttpEndpoint::Make(
    const HttpEndpointOptions& options,
    Handler handler) {
  assert(options.threads > 0);
  auto impl = std::make_unique<Impl>();
  const Status listening = impl->Listen(options, std::move(handler));
  if (!listening.ok()) {
    return listening.error();
  }
  return std::unique_ptr<HttpEndpoint>(new HttpEndpoint(std::move(impl)));
}

HttpEndpoint::HttpEndpoint(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl)) {}
HttpEndpoint::~HttpEndpoint() = default;

Endpoint HttpEndpoint::endpoint() const {
  return impl_->endpoint();
}

}  // namespace gcw::daemon
