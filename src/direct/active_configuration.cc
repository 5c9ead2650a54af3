#include "src/direct/active_configuration.h"

#include <algorithm>
#include <iterator>

namespace gcw::direct {
namespace {

// The services that new flows on any route of `configuration` may go to.
std::set<std::string> RoutedServices(const Configuration& configuration) {
  std::set<std::string> routed;
  for (const Route& route : configuration.routes) {
    for (const ServiceShare& share : route.services) {
      routed.insert(share.service);
    }
  }
  return routed;
}

}  // namespace

bool ActiveConfiguration::Apply(const Configuration& configuration,
                                Version revision) {
  if (configuration == configuration_) {
    return false;
  }
  const std::set<std::string> routed_before = RoutedServices(configuration_);
  configuration_ = configuration;
  newly_routed_.clear();
  std::ranges::set_difference(
      RoutedServices(configuration_), routed_before,
      std::inserter(newly_routed_, newly_routed_.end()));
  routes_.clear();
  for (std::size_t i = 0; i < configuration_.routes.size(); ++i) {
    routes_[configuration_.routes[i].address] = i;
  }
  services_.clear();
  for (std::size_t i = 0; i < configuration_.services.size(); ++i) {
    services_[configuration_.services[i].name] = i;
  }
  events_->push_back(ConfigurationApplied{
      configuration_.version, revision,
      static_cast<std::uint32_t>(configuration_.routes.size()),
      static_cast<std::uint32_t>(configuration_.services.size())});
  return true;
}

const Route* ActiveConfiguration::FindRoute(const Endpoint& address) const {
  const auto it = routes_.find(address);
  return it == routes_.end() ? nullptr : &configuration_.routes[it->second];
}

const Service* ActiveConfiguration::FindService(std::string_view name) const {
  const auto it = services_.find(name);
  return it == services_.end() ? nullptr : &configuration_.services[it->second];
}

}  // namespace gcw::direct
