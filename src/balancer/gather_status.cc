#include "src/balancer/gather_status.h"

#include <algorithm>
#include <cstddef>
#include <memory>

#include "src/balancer/messages.h"

namespace gcw::balancer {
namespace {

using nlohmann::json;

constexpr absl::Duration kGatherTimeout = absl::Milliseconds(500);
constexpr std::size_t kParts = 3;

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

}  // namespace gcw::balancer
