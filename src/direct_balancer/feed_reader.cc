#include "src/direct_balancer/feed_reader.h"

#include <memory>
#include <string_view>
#include <utility>

#include "platform/object_format.h"
#include "platform/resource_codec.h"

namespace gcw::direct_balancer {
namespace {

std::string_view NameOf(const relay::Object& object, std::string_view prefix) {
  return std::string_view(object.key).substr(prefix.size());
}

class ConfigurationReader : public FeedReader {
 public:
  FeedNews OnObjects(std::span<const relay::Object> objects,
                     direct::Version revision) override {
    FeedNews news;
    for (const relay::Object& object : objects) {
      if (object.key == adapter::kConfigurationKey &&
          object.version != decoded_) {
        Read(object, revision, news);
      }
    }
    return news;
  }

 private:
  void Read(const relay::Object& object,
            direct::Version revision,
            FeedNews& news) {
    decoded_ = object.version;
    auto configuration = adapter::DecodeConfiguration(object.json);
    if (!configuration.ok()) {
      news.unreadable.push_back(
          {object.key, object.version, configuration.error()});
      return;
    }
    news.message =
        ConfigurationRead{std::move(configuration).value(), revision};
  }

  direct::Version decoded_ = 0;
};

// Objects come in order of key, so one pass over both lists finds what changed.
class ServersReader : public FeedReader {
 public:
  FeedNews OnObjects(std::span<const relay::Object> objects,
                     direct::Version revision) override {
    FeedNews news;
    ServersListed listed;
    listed.revision = revision;
    listed.reports.reserve(objects.size());
    auto known = reports_.cbegin();
    for (const relay::Object& object : objects) {
      const std::string_view name = NameOf(object, adapter::kServersPrefix);
      while (known != reports_.cend() && (*known)->name < name) {
        ++known;
      }
      const bool same = known != reports_.cend() && (*known)->name == name &&
                        (*known)->revision == object.version;
      listed.reports.push_back(same ? *known : Read(object, name, news));
    }
    reports_ = listed.reports;
    news.message = std::move(listed);
    return news;
  }

 private:
  static direct::ServerReportPtr Read(const relay::Object& object,
                                      std::string_view name,
                                      FeedNews& news) {
    auto report = std::make_shared<direct::ServerReport>();
    report->name = std::string(name);
    report->revision = object.version;
    auto server = adapter::DecodeServer(name, object.json);
    report->readable = server.ok();
    if (server.ok()) {
      report->server = std::move(server).value();
    } else {
      news.unreadable.push_back({object.key, object.version, server.error()});
    }
    return report;
  }

  std::vector<direct::ServerReportPtr> reports_;
};

class ZonesReader : public FeedReader {
 public:
  FeedNews OnObjects(std::span<const relay::Object> objects,
                     direct::Version revision) override {
    ZonesOutRead read;
    read.revision = revision;
    for (const relay::Object& object : objects) {
      read.zones.emplace_back(NameOf(object, adapter::kZonesOutPrefix));
    }
    FeedNews news;
    news.message = std::move(read);
    return news;
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
