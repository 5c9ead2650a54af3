#include "src/lab/event_reader.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

namespace gcw::lab {
namespace {

using config::ObjectReader;
using config::Presence;
using nlohmann::json;

constexpr double kMaxMs = 3'600'000;
constexpr double kMaxSeconds = 3600;
constexpr std::size_t kMaxNames = 100;
constexpr std::uint32_t kMaxWeight = 1000;

// Bit flags of the fields that an event has besides "at" and "do".
enum Fields : unsigned {
  kNone = 0,
  kServers = 1,
  kDaemons = 2,
  kZones = 4,
  kShare = 8,
  kLength = 16,
  kDelay = 32,
  kOn = 64,
  kBehaviorFields = 128,
  kLinkFields = 256,
  kService = 512,
  kPerSecond = 1024,
  kWeightField = 2048,
  kSilent = 4096,
};

// The name of an event in scenarios, its kind and its fields.
struct EventKindRow {
  std::string_view event_name;
  EventKind kind;
  unsigned fields;
};

constexpr auto kKinds = std::to_array<EventKindRow>({
    {"drain", EventKind::kDrain, kServers},
    {"undrain", EventKind::kUndrain, kServers},
    {"zone_out", EventKind::kZoneOut, kZones},
    {"zone_in", EventKind::kZoneIn, kZones},
    {"kill", EventKind::kKill, kDaemons},
    {"stop", EventKind::kStop, kDaemons},
    {"start", EventKind::kStart, kDaemons},
    {"pause", EventKind::kPause, kDaemons | kLength},
    {"resume", EventKind::kResume, kDaemons},
    {"partition", EventKind::kPartition, kZones | kLength},
    {"heal", EventKind::kHeal, kNone},
    {"platform_down", EventKind::kPlatformDown, kLength | kSilent},
    {"platform_up", EventKind::kPlatformUp, kNone},
    {"platform_copy", EventKind::kPlatformCopy, kNone},
    {"platform_restore", EventKind::kPlatformRestore, kNone},
    {"platform_slow", EventKind::kPlatformSlow, kDelay | kLength},
    {"lost_answers", EventKind::kLostAnswers, kShare | kLength},
    {"late_writes", EventKind::kLateWrites, kShare | kLength},
    {"stale_reads", EventKind::kStaleReads, kShare | kLength},
    {"watch_stall", EventKind::kWatchStall, kOn | kLength},
    {"platform_cut", EventKind::kPlatformCut, kDaemons | kOn | kLength},
    {"restart_server", EventKind::kRestartServer, kServers},
    {"kill_server", EventKind::kKillServer, kServers},
    {"behavior", EventKind::kBehavior, kServers | kBehaviorFields},
    {"link", EventKind::kLink, kLinkFields | kLength},
    {"clear_links", EventKind::kClearLinks, kNone},
    {"silence_flows", EventKind::kSilenceFlows, kServers | kShare},
    {"reuse_address", EventKind::kReuseAddress, kServers | kService | kLength},
    {"churn", EventKind::kChurn, kPerSecond | kLength},
    {"weight", EventKind::kWeight, kServers | kService | kWeightField},
});

// A scenario that runs on both deployments names servers "main-N" and
// "small-N", zones "zone-N" and services "main", "small" and "other". The
// Resolve functions translate such names into the names of the deployment's
// topology.
std::string ResolveServer(const Topology& topology, const std::string& name) {
  constexpr std::string_view kMain = "main-";
  constexpr std::string_view kSmall = "small-";
  if (name.starts_with(kMain)) {
    return topology.services[0].name + "-" + name.substr(kMain.size());
  }
  if (name.starts_with(kSmall)) {
    return topology.services[1].name + "-" + name.substr(kSmall.size());
  }
  return name;
}

std::string ResolveZone(const Topology& topology, const std::string& name) {
  for (std::size_t i = 0; i < topology.zones.size(); ++i) {
    if (name == fmt::format("zone-{}", i + 1)) {
      return topology.zones[i];
    }
  }
  return name;
}

// Reads the array of names `key` and appends their indices to `target`. `find`
// returns the index of a name, or `count` if there is no such name.
template <typename Find>
void ReadNames(ObjectReader& reader,
               std::string_view key,
               std::vector<Error>* errors,
               std::size_t count,
               std::vector<std::size_t>* target,
               Find find) {
  reader.ReadArray(
      key, Presence::kRequired, kMaxNames,
      [&](const json& value, std::string path) {
        const std::size_t index =
            value.is_string() ? find(value.get<std::string>()) : count;
        if (index == count) {
          errors->push_back({ResultCode::kInvalidField, std::move(path),
                             fmt::format("no such name in {}", key)});
          return;
        }
        target->push_back(index);
      });
}

void ReadServers(ObjectReader& reader,
                 const Topology& topology,
                 std::vector<Error>* errors,
                 Event* event) {
  ReadNames(reader, "servers", errors, topology.servers.size(), &event->servers,
            [&](const std::string& name) {
              return topology.FindServer(ResolveServer(topology, name));
            });
}

void ReadDaemons(ObjectReader& reader,
                 const Topology& topology,
                 std::vector<Error>* errors,
                 Event* event) {
  ReadNames(reader, "daemons", errors, topology.daemons.size(), &event->daemons,
            [&](const std::string& name) { return topology.FindDaemon(name); });
}

void ReadZones(ObjectReader& reader,
               const Topology& topology,
               std::vector<Error>* errors,
               Event* event) {
  ReadNames(reader, "zones", errors, topology.zones.size(), &event->zones,
            [&](const std::string& name) {
              return topology.FindZone(ResolveZone(topology, name));
            });
}

void ReadService(ObjectReader& reader, const Topology& topology, Event* event) {
  std::string name;
  reader.ReadName("service", Presence::kRequired, &name);
  event->service = topology.FindService(ResolveService(topology, name));
  if (event->service == topology.services.size()) {
    reader.Report(ResultCode::kInvalidField, "service", "no such service");
    event->service = 0;
  }
}

void ReadSeconds(ObjectReader& reader,
                 std::string_view key,
                 Presence presence,
                 absl::Duration* target) {
  double seconds = absl::ToDoubleSeconds(*target);
  reader.ReadNumber(key, presence, 0, kMaxSeconds, &seconds);
  *target = absl::Seconds(seconds);
}

void ReadBehavior(ObjectReader& reader, ServerBehavior* behavior) {
  ReadShare(reader, "shed_share", &behavior->shed_share);
  reader.ReadNumber("slow_factor", Presence::kOptional, 0.01, 100,
                    &behavior->slow_factor);
  ReadShare(reader, "cross_share", &behavior->cross_share);
  ReadShare(reader, "duplicate_share", &behavior->duplicate_share);
  ReadDuration(reader, "answer_delay_ms", absl::ZeroDuration(),
               &behavior->answer_delay);
  ReadDuration(reader, "load_lag_ms", absl::ZeroDuration(),
               &behavior->load_lag);
  std::size_t position = 0;
  reader.ReadEnum("load_reporting", Presence::kOptional,
                  {"honest", "claims_idle", "claims_busy"}, &position);
  behavior->load_reporting = static_cast<LoadReporting>(position);
}

void ReadLink(ObjectReader& reader,
              const Topology& topology,
              std::vector<Error>* errors,
              LinkRule* rule) {
  std::size_t position = 0;
  reader.ReadEnum("on", Presence::kRequired,
                  {"peers", "servers", "callers", "control"}, &position);
  rule->kind = static_cast<LinkKind>(position);
  if (reader.Has("zones")) {
    Event pair;
    ReadZones(reader, topology, errors, &pair);
    if (pair.zones.size() == 2) {
      rule->zones = std::pair(pair.zones[0], pair.zones[1]);
    } else {
      reader.Report(ResultCode::kInvalidField, "zones", "must list two zones");
    }
  }
  ReadShare(reader, "loss", &rule->faults.loss);
  ReadShare(reader, "duplicate", &rule->faults.duplicate);
  ReadShare(reader, "reorder", &rule->faults.reorder);
  ReadDuration(reader, "delay_ms", absl::ZeroDuration(), &rule->faults.delay);
  ReadDuration(reader, "jitter_ms", absl::ZeroDuration(), &rule->faults.jitter);
}

const EventKindRow* ReadKind(ObjectReader& reader) {
  std::string event_name;
  reader.ReadString("do", Presence::kRequired, kMaxNames, &event_name);
  const auto* row = std::find_if(
      kKinds.begin(), kKinds.end(),
      [&](const EventKindRow& kind) { return kind.event_name == event_name; });
  if (row == kKinds.end()) {
    reader.Report(ResultCode::kInvalidField, "do",
                  fmt::format("unknown event '{}'", event_name));
    return nullptr;
  }
  return row;
}

void ReadNumbers(ObjectReader& reader, unsigned fields, Event* event) {
  if ((fields & kShare) != 0) {
    ReadShare(reader, "share", &event->share);
  }
  if ((fields & kLength) != 0) {
    ReadSeconds(reader, "for_s", Presence::kOptional, &event->length);
  }
  if ((fields & kDelay) != 0) {
    ReadDuration(reader, "delay_ms", absl::ZeroDuration(), &event->delay);
    ReadDuration(reader, "jitter_ms", absl::ZeroDuration(), &event->jitter);
  }
  if ((fields & kOn) != 0) {
    reader.ReadBool("on", Presence::kOptional, &event->on);
  }
  if ((fields & kSilent) != 0) {
    reader.ReadBool("silent", Presence::kOptional, &event->silent);
  }
  if ((fields & kPerSecond) != 0) {
    reader.ReadNumber("per_s", Presence::kRequired, 0.01, 100, &event->per_s);
  }
  if ((fields & kWeightField) != 0) {
    reader.ReadUint("weight", Presence::kRequired, 0, kMaxWeight,
                    &event->weight);
  }
}

}  // namespace

std::string ResolveService(const Topology& topology, const std::string& name) {
  constexpr std::array<std::string_view, 3> kRoles{"main", "small", "other"};
  for (std::size_t i = 0; i < kRoles.size(); ++i) {
    if (name == kRoles[i]) {
      return topology.services[i].name;
    }
  }
  return name;
}

void ReadDuration(ObjectReader& reader,
                  std::string_view key,
                  absl::Duration min,
                  absl::Duration* target) {
  if (!reader.Has(key)) {
    return;
  }
  double ms = 0;
  reader.ReadNumber(key, Presence::kOptional, absl::ToDoubleMilliseconds(min),
                    kMaxMs, &ms);
  *target = absl::Milliseconds(ms);
}

void ReadShare(ObjectReader& reader, std::string_view key, double* target) {
  reader.ReadNumber(key, Presence::kOptional, 0, 1, target);
}

Event ReadEvent(const json& value,
                std::string path,
                const Topology& topology,
                std::vector<Error>* errors) {
  Event event;
  ObjectReader reader(value, std::move(path), errors);
  ReadSeconds(reader, "at", Presence::kRequired, &event.at);
  const EventKindRow* row = ReadKind(reader);
  if (row == nullptr) {
    return event;
  }
  event.kind = row->kind;
  if ((row->fields & kServers) != 0) {
    ReadServers(reader, topology, errors, &event);
  }
  if ((row->fields & kDaemons) != 0) {
    ReadDaemons(reader, topology, errors, &event);
  }
  if ((row->fields & kZones) != 0) {
    ReadZones(reader, topology, errors, &event);
  }
  if ((row->fields & kService) != 0) {
    ReadService(reader, topology, &event);
  }
  if ((row->fields & kBehaviorFields) != 0) {
    ReadBehavior(reader, &event.behavior);
  }
  if ((row->fields & kLinkFields) != 0) {
    ReadLink(reader, topology, errors, &event.link);
  }
  ReadNumbers(reader, row->fields, &event);
  reader.Finish();
  return event;
}

}  // namespace gcw::lab
