#include "src/balancer/status_server.h"

#include <fmt/format.h>
#include <httplib.h>

#include <algorithm>
#include <thread>
#include <utility>

#include "src/balancer/messages.h"

namespace gcw::balancer {
namespace {

using nlohmann::json;

constexpr absl::Duration kGatherTimeout = absl::Milliseconds(500);
constexpr std::size_t kParts = 3;
constexpr std::size_t kThreads = 2;

template <typename T>
void Ask(kernel::Kernel& kernel,
         std::string_view service,
         const std::shared_ptr<StatusReply>& reply) {
  const auto sink = kernel.Find<T>(service);
  if (sink.ok()) {
    sink.value()->Send(StatusRequest{reply});
  }
}

std::uint64_t RevisionOf(const json& status, const char* part) {
  const auto it = status.find(part);
  return it == status.end() ? 0 : it->value("revision", std::uint64_t{0});
}

}  // namespace

json GatherStatus(const Settings& settings, kernel::Kernel& kernel) {
  const auto reply = std::make_shared<StatusReply>(kParts);
  Ask<PacketMessage>(kernel, kPacketService, reply);
  Ask<DispatchMessage>(kernel, kDispatchService, reply);
  Ask<ClusterMessage>(kernel, kClusterService, reply);
  json status = reply->Wait(kGatherTimeout);
  status["name"] = settings.name;
  status["zone"] = settings.zone;
  status["revision"] =
      std::min(RevisionOf(status, "routing"), RevisionOf(status, "cluster"));
  return status;
}

class StatusServer::Impl {
 public:
  Impl(const Settings& settings, kernel::Kernel& kernel)
      : settings_(settings), kernel_(kernel) {}

  ~Impl() {
    server_.stop();
    if (thread_.joinable()) {
      thread_.join();
    }
  }

  Status Listen() {
    server_.new_task_queue = [] { return new httplib::ThreadPool(kThreads); };
    server_.Get("/status",
                [this](const httplib::Request&, httplib::Response& response) {
                  response.set_content(GatherStatus(settings_, kernel_).dump(),
                                       "application/json");
                });
    const Endpoint listen{settings_.bind, settings_.ports.status};
    if (!server_.bind_to_port(IpToString(listen.ip), listen.port)) {
      return Error{ResultCode::kBindFailed, "",
                   fmt::format("cannot bind TCP {}", ToString(listen))};
    }
    thread_ = std::thread([this] { server_.listen_after_bind(); });
    return OkStatus();
  }

 private:
  const Settings settings_;
  kernel::Kernel& kernel_;
  httplib::Server server_;
  std::thread thread_;
};

Result<std::unique_ptr<StatusServer>> StatusServer::Make(
    const Settings& settings,
    kernel::Kernel& kernel) {
  auto impl = std::make_unique<Impl>(settings, kernel);
  const Status listening = impl->Listen();
  if (!listening.ok()) {
    return listening.error();
  }
  return std::unique_ptr<StatusServer>(new StatusServer(std::move(impl)));
}

StatusServer::StatusServer(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl)) {}
StatusServer::~StatusServer() = default;

}  // namespace gcw::balancer
