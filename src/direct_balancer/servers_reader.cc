#include "src/direct_balancer/servers_reader.h"

#include <memory>
#include <utility>

#include "platform/object_format.h"
#include "platform/resource_codec.h"

namespace gcw::direct_balancer {
namespace {

// The name of the server in `object`.
std::string_view NameOf(const relay::Object& object) {
  return std::string_view(object.key).substr(adapter::kServersPrefix.size());
}

direct::ServerReportPtr Decode(const relay::Object& object,
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

// Whether the server in `object`, whose entry has vanished, may still have open
// flows. A server drains before it leaves.
bool MayServe(const relay::Object& object, bool restored) {
  const auto server = adapter::DecodeServer(NameOf(object), object.json);
  return server.ok() && (restored || !server.value().draining);
}

}  // namespace

ServersReader::ServersReader(absl::Duration lifetime)
    : lifetime_(lifetime), vanished_(lifetime, MayServe) {}

// The new objects and the reports of the last call are both sorted by name, so
// one pass over both lists finds the reports that can be reused.
FeedUpdate ServersReader::OnObjects(std::span<const relay::Object> objects,
                                    direct::Version revision,
                                    absl::Time now) {
  FeedUpdate update;
  LateReports late;
  ServersListed listed;
  listed.revision = revision;
  listed.reports.reserve(objects.size());
  auto previous = reports_.cbegin();
  for (const relay::Object& object : objects) {
    const std::string_view name = NameOf(object);
    while (previous != reports_.cend() && (*previous)->name < name) {
      ++previous;
    }
    const bool unchanged = previous != reports_.cend() &&
                           (*previous)->name == name &&
                           (*previous)->revision == object.version;
    listed.reports.push_back(unchanged ? *previous
                                       : Decode(object, name, update));
    const bool known = previous != reports_.cend() && (*previous)->name == name;
    NoteIfLate(listed.reports.back(), known ? *previous : nullptr, now, late);
  }
  reports_ = listed.reports;
  late_reports_ = std::move(late);
  RetainedObjects::Versions outdated;
  for (const auto& [name, report] : late_reports_) {
    outdated.insert(report.version);
  }
  vanished_.OnObjects(objects, revision, now, outdated);
  update.message = std::move(listed);
  return update;
}

void ServersReader::NoteIfLate(const direct::ServerReportPtr& report,
                               const direct::ServerReportPtr& last,
                               absl::Time now,
                               LateReports& late) const {
  const auto found = late_reports_.find(report->name);
  const bool was_late = found != late_reports_.end();
  if (last == report && !was_late) {
    return;
  }
  const direct::ServerReportPtr held = was_late ? found->second.held : last;
  const absl::Time since = was_late ? found->second.since : now;
  if (held != nullptr && held->readable && report->readable &&
      IsEarlier(report->server, held->server) && now - since < lifetime_) {
    late[report->name] = {report->revision, held, since};
  }
}

FeedUpdate ServersReader::OnRetained(const RetainedMessage& retained,
                                     direct::Version /*revision*/,
                                     absl::Time now) {
  FeedUpdate update;
  MissingServersTold told;
  std::vector<relay::Object> readable;
  for (const relay::Object& object : retained.objects) {
    if (!object.key.starts_with(adapter::kServersPrefix)) {
      continue;
    }
    direct::ServerReportPtr report = Decode(object, NameOf(object), update);
    if (report->readable) {
      told.reports.push_back(std::move(report));
      readable.push_back(object);
    }
  }
  vanished_.OnTold(readable, retained.store_version, now - retained.age);
  if (!told.reports.empty()) {
    update.message = std::move(told);
  }
  return update;
}

FeedUpdate ServersReader::OnTick(direct::Version /*revision*/, absl::Time now) {
  vanished_.OnTick(now);
  return {};
}

std::span<const RetainedBatch> ServersReader::retained() const {
  return vanished_.batches();
}

}  // namespace gcw::direct_balancer
