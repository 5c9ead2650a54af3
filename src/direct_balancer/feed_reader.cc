#include "src/direct_balancer/feed_reader.h"

#include <memory>

#include "src/direct_balancer/configuration_reader.h"
#include "src/direct_balancer/servers_reader.h"
#include "src/direct_balancer/zones_reader.h"

namespace gcw::direct_balancer {

std::unique_ptr<FeedReader> FeedReader::Make(direct::Feed feed,
                                             const RetentionTimes& times) {
  switch (feed) {
    case direct::Feed::kConfiguration:
      return std::make_unique<ConfigurationReader>();
    case direct::Feed::kServers:
      return std::make_unique<ServersReader>(times.servers);
    case direct::Feed::kZones:
      break;
  }
  return std::make_unique<ZonesReader>(times.zones);
}

FeedUpdate FeedReader::OnStaleObjects(
    std::span<const relay::Object> /*objects*/,
    direct::Version /*revision*/) {
  return {};
}

}  // namespace gcw::direct_balancer
