#include <catch2/catch.hpp>
#include <map>
#include <memory>

#include "gcw/routing/routing_policy.h"
#include "tests/routing/fixtures.h"

namespace gcw::routing {
namespace {

using testing::MakeDeskConfig;
using testing::MakePacket;
using testing::TimeAt;

std::unique_ptr<RoutingPolicy> MakePolicy(const std::string& name) {
  RouterOptions options;
  options.policy = name;
  options.self = std::string("b0");
  options.zone = std::string("a");
  options.max_flows = 10'000;
  auto made = RoutingPolicy::Make(options);
  REQUIRE(made.ok());
  return std::move(made).value();
}

TEST_CASE(
    "creating a policy fails for an unknown name or a value out of range") {
  RouterOptions options;
  options.self = std::string("b0");
  CHECK(RoutingPolicy::Make(options).ok());
  options.policy = std::string("random");
  REQUIRE_FALSE(RoutingPolicy::Make(options).ok());
  CHECK(RoutingPolicy::Make(options).error().field == "routing.policy");
  options.policy = std::string("tables");
  options.activation_bound = options.freshness_bound;
  CHECK(RoutingPolicy::Make(options).error().field ==
        "routing.activation_bound");
  options = RouterOptions{};
  CHECK(RoutingPolicy::Make(options).error().field == "routing.self");
}

TEST_CASE("each policy keeps flows on their servers in one configuration") {
  for (const char* name : {"tables", "hash", "local"}) {
    INFO(name);
    const auto policy = MakePolicy(name);
    testing::ConfigBuilder config = MakeDeskConfig(14);
    policy->ApplySnapshot(config.BuildSnapshot(), TimeAt(0));
    policy->ApplyMembers({}, TimeAt(0));
    policy->OnTick(TimeAt(0.05));
    std::map<std::string, int> flows;
    for (std::uint32_t flow = 0; flow < 5000; ++flow) {
      const Decision first =
          policy->OnPacket(MakePacket(flow, true), TimeAt(0.1));
      REQUIRE(first.action == Action::kForward);
      CHECK(first.new_flow);
      const Decision next =
          policy->OnPacket(MakePacket(flow, false), TimeAt(0.2));
      REQUIRE(next.action == Action::kForward);
      CHECK_FALSE(next.new_flow);
      CHECK(next.server == first.server);
      ++flows[std::string(first.server_name)];
    }
    CHECK(flows.size() == 14);
    CHECK(policy->Stats().new_flows == 5000);
  }
}

TEST_CASE("a packet to an unknown address is dropped") {
  for (const char* name : {"tables", "hash", "local"}) {
    const auto policy = MakePolicy(name);
    FlowPacket packet = MakePacket(1, true);
    const Decision decision = policy->OnPacket(packet, TimeAt(0));
    CHECK(decision.action == Action::kDrop);
    CHECK(decision.code == ResultCode::kUnknownService);
  }
}

// Two daemons with different configurations may assign an address to different
// services. The receiver must not deliver the packet to a server of the other
// service.
TEST_CASE("a relayed packet whose header names another service is dropped") {
  const auto policy = MakePolicy("tables");
  testing::ConfigBuilder config = MakeDeskConfig(3);
  policy->ApplySnapshot(config.BuildSnapshot(), TimeAt(0));
  policy->ApplyMembers({}, TimeAt(0));
  RelayHeader header;
  header.hops = 1;
  header.service = ServiceIdOf("archive");
  const Decision decision =
      policy->OnRelayed(MakePacket(1, true), header, TimeAt(0));
  CHECK(decision.action == Action::kDrop);
  CHECK(decision.code == ResultCode::kUnknownService);
}

}  // namespace
}  // namespace gcw::routing
