#include "src/soak/server_reports.h"

#include <algorithm>
#include <set>

#include "platform/object_format.h"
#include "platform/resource_codec.h"
#include "platform/stand_in_objects.h"

namespace gcw::soak {

std::string ServerReports::KeyOf(std::size_t server) const {
  return adapter::ServerKey(servers_[server].number);
}

direct::BackendServer ServerReports::EntryOf(std::size_t server) const {
  const ServerRecord& record = servers_[server];
  direct::BackendServer entry;
  entry.name = KeyOf(server).substr(adapter::kServersPrefix.size());
  entry.number = record.number;
  entry.incarnation = static_cast<std::int64_t>(record.incarnation);
  entry.report_number = record.reports;
  entry.service = "s";
  entry.address = record.address;
  entry.zone = topology_.zones[record.zone];
  entry.slots = Server::kSlots;
  entry.draining = record.draining_since != absl::InfiniteFuture();
  entry.cold_for =
      std::max(record.cold_until - scheduler_.now(), absl::ZeroDuration());
  return entry;
}

bool ServerReports::IsCurrent(std::size_t server) const {
  const direct::BackendServer entry = EntryOf(server);
  const auto stored = store_.Get(KeyOf(server));
  if (!stored.ok()) {
    return false;
  }
  const auto decoded = adapter::DecodeServer(entry.name, stored.value().value);
  return decoded.ok() && direct::SameState(decoded.value(), entry);
}

void ServerReports::Put(std::size_t server) {
  ServerRecord& record = servers_[server];
  ++record.reports;
  const auto written = store_.Put(
      KeyOf(server), adapter::EncodeServer(EntryOf(server)), record.version);
  if (written.ok()) {
    record.version = written.value();
  }
}

void ServerReports::Delete(std::size_t server) {
  ServerRecord& record = servers_[server];
  if (store_.Delete(KeyOf(server), record.version).ok()) {
    record.version = 0;
  }
}

ServerEntryText ServerReports::Make(std::size_t server) {
  ++servers_[server].reports;
  return {KeyOf(server), adapter::EncodeServer(EntryOf(server))};
}

void ServerReports::ExecuteLate(std::size_t server,
                                const ServerEntryText& report) {
  if (!store_.Get(report.key).ok()) {
    return;
  }
  const config::Version version = store_.PutRaw(report.key, report.value);
  ServerRecord& record = servers_[server];
  if (report.key == KeyOf(server)) {
    record.version = version;
  }
  scheduler_.After(kReportInterval, [this, server] {
    if (servers_[server].up && !servers_[server].unreported) {
      Put(server);
    }
  });
}

void ServerReports::BecomeCold(std::size_t server, absl::Duration cold_for) {
  servers_[server].cold_until = scheduler_.now() + cold_for;
  Put(server);
  if (cold_for > absl::ZeroDuration()) {
    ReportUntilWarm(server);
  }
}

void ServerReports::ReportUntilWarm(std::size_t server) {
  const std::uint64_t incarnation = servers_[server].incarnation;
  scheduler_.After(kReportInterval, [this, server, incarnation] {
    const ServerRecord& record = servers_[server];
    if (!record.up || record.unreported || record.incarnation != incarnation) {
      return;
    }
    Put(server);
    if (scheduler_.now() < record.cold_until) {
      ReportUntilWarm(server);
    }
  });
}

void ServerReports::ReadVersions() {
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    const auto entry = store_.Get(KeyOf(i));
    servers_[i].version = entry.ok() ? entry.value().version : 0;
  }
}

void ServerReports::WriteAllAgain() {
  std::set<std::string> present;
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    const ServerRecord& record = servers_[i];
    const bool has_left =
        !record.up && record.draining_since != absl::InfiniteFuture();
    if (!has_left) {
      present.insert(KeyOf(i));
    }
    if (record.up && !record.unreported && !IsCurrent(i)) {
      Put(i);
    } else if (has_left) {
      Delete(i);
    }
  }
  for (const auto& entry : store_.List(adapter::kServersPrefix).objects) {
    if (!present.contains(entry.key)) {
      (void)store_.Delete(entry.key, entry.version);
    }
  }
}

void ServerReports::Lose(std::size_t server) {
  servers_[server].unreported = true;
  Delete(server);
}

void ServerReports::ReportAgain(std::size_t server) {
  ServerRecord& record = servers_[server];
  record.unreported = false;
  if (record.up && record.version == 0) {
    Put(server);
  }
}

}  // namespace gcw::soak
