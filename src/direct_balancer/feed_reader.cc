#include "src/direct_balancer/feed_reader.h"

#include <memory>
#include <string_view>
#include <utility>

#include "platform/object_format.h"
#include "platform/resource_codec.h"

namespace gcw::direct_balancer {
namespace {

// The key of `object` without `prefix`.
std::string_view NameOf(const relay::Object& object, std::string_view prefix) {
  return std::string_view(object.key).substr(prefix.size());
}

// Decodes the single configuration object.
class ConfigurationReader : public FeedReader {
 public:
  FeedUpdate OnObjects(std::span<const relay::Object> objects,
                       direct::Version revision) override {
    FeedUpdate update;
    for (const relay::Object& object : objects) {
      if (object.key == adapter::kConfigurationKey &&
          object.version != decoded_version_) {
        Decode(object, revision, update);
      }
    }
    return update;
  }

 private:
  void Decode(const relay::Object& object,
              direct::Version revision,
              FeedUpdate& update) {
    decoded_version_ = object.version;
    auto configuration = adapter::DecodeConfiguration(object.json);
    if (!configuration.ok()) {
      update.unreadable.push_back(
          {object.key, object.version, configuration.error()});
      return;
    }
    update.message =
        ConfigurationRead{std::move(configuration).value(), revision};
  }

  // Version of the last configuration object that was decoded, successfully or
  // not.
  direct::Version decoded_version_ = 0;
};

// Decodes the entries of backend servers. The new objects and the reports of
// the last call are both sorted by name, so one pass over both lists finds the
// reports that can be reused.
class ServersReader : public FeedReader {
 public:
  FeedUpdate OnObjects(std::span<const relay::Object> objects,
                       direct::Version revision) override {
    FeedUpdate update;
    ServersListed listed;
    listed.revision = revision;
    listed.reports.reserve(objects.size());
    auto previous = reports_.cbegin();
    for (const relay::Object& object : objects) {
      const std::string_view name = NameOf(object, adapter::kServersPrefix);
      while (previous != reports_.cend() && (*previous)->name < name) {
        ++previous;
      }
      const bool unchanged = previous != reports_.cend() &&
                             (*previous)->name == name &&
                             (*previous)->revision == object.version;
      listed.reports.push_back(unchanged ? *previous
                                         : Decode(object, name, update));
    }
    reports_ = listed.reports;
    update.message = std::move(listed);
    return update;
  }

 private:
  static direct::ServerReportPtr Decode(const relay::Object& object,
                                        std::string_view name,
                                        FeedUpdate& update) {
    auto report = std::make_shared<direct::ServerReport>();
    report->name = std::string(name);
    report->revision = object.version;
    auto server = adapter::DecodeServer(name, object.json);
    report->readable = server.ok();
    if (server.ok()) {
      report->server = std::move(server).value();
    } else {
      update.unreadable.push_back({object.key, object.version, server.error()});
    }
    return report;
  }

  std::vector<direct::ServerReportPtr> reports_;
};

// Reads the availability zones that operators have taken out of service: there
// is one object for each, named after the zone.
class ZonesReader : public FeedReader {
 public:
  FeedUpdate OnObjects(std::span<const relay::Object> objects,
                       direct::Version revision) override {
    ZonesOutRead read;
    read.revision = revision;
    for (const relay::Object& object : objects) {
      read.zones.emplace_back(NameOf(object, adapter::kZonesOutPrefix));
    }
    FeedUpdate update;
    update.message = std::move(read);
    return update;
  }
};

}  // namespace

std::unique_ptr<FeedReader> FeedReader::Make(direct::Feed feed) {
  switch (feed) {
    case direct::Feed::kConfiguration:
      return std::make_unique<ConfigurationReader>();
    case direct::Feed::kServers:
      return std::make_unique<ServersReader>();
    case direct::Feed::kZones:
      break;
  }
  return std::make_unique<ZonesReader>();
}

}  // namespace gcw::direct_balancer
