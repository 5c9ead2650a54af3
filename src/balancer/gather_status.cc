#include "src/balancer/gather_status.h"

#include <algorithm>
#include <cstddef>
#include <memory>

#include "src/balancer/messages.h"

namespace gcw::balancer {
namespace {

using nlohmann::json;

// Tasks that have not answered after this time are left out of the status.
constexpr absl::Duration kGatherTimeout = absl::Milliseconds(500);
// The packet, dispatch and cluster tasks.
constexpr std::size_t kTaskCount = 3;

template <typename T>
void RequestStatus(kernel::Kernel& kernel,
                   std::string_view service,
                   const std::shared_ptr<StatusCollector>& collector) {
  const auto sink = kernel.Find<T>(service);
  if (sink.ok()) {
    sink.value()->Send(StatusRequest{collector});
  }
}

std::uint64_t RevisionOf(const json& status, const char* part) {
  const auto it = status.find(part);
  return it == status.end() ? 0 : it->value("revision", std::uint64_t{0});
}

}  // namespace

json GatherStatus(const Settings& settings, kernel::Kernel& kernel) {
  const auto collector = std::make_shared<StatusCollector>(kTaskCount);
  RequestStatus<PacketMessage>(kernel, kPacketService, collector);
  RequestStatus<DispatchMessage>(kernel, kDispatchService, collector);
  RequestStatus<ClusterMessage>(kernel, kClusterService, collector);
  json status = collector->Wait(kGatherTimeout);
  status["name"] = settings.name;
  status["zone"] = settings.zone;
  status["revision"] =
      std::min(RevisionOf(status, "routing"), RevisionOf(status, "cluster"));
  return status;
}

}  // namespace gcw::balancer
