#include "src/direct_balancer/event_writer.h"

#include <fmt/format.h>

#include <utility>

#include "absl/time/time.h"

namespace gcw::direct_balancer {
namespace {

using direct::FlowKey;
using nlohmann::ordered_json;

constexpr std::string_view kRouting = "routing";
constexpr std::string_view kState = "state";
constexpr std::string_view kProcess = "process";
constexpr std::string_view kFleet = "fleet";

// The id of a flow in the log: the addresses of its caller and its service.
std::string FlowId(const FlowKey& key) {
  return fmt::format("{}>{}", ToString(key.caller), ToString(key.service));
}

// Whole milliseconds, or null for an infinite duration ("never").
ordered_json MillisecondsOrNull(absl::Duration duration) {
  if (duration == absl::InfiniteDuration()) {
    return nullptr;
  }
  return absl::ToInt64Milliseconds(duration);
}

// Returns the heading of an event. Allocates nothing, so that lines over their
// rate limit cost little.
struct HeadingOf {
  LogHeading operator()(const direct::FlowOpened&) const {
    return {LogLevel::kInfo, kRouting, "flow_opened"};
  }
  LogHeading operator()(const direct::FlowRefused&) const {
    return {LogLevel::kWarning, kRouting, "flow_refused"};
  }
  LogHeading operator()(const direct::FlowStalled&) const {
    return {LogLevel::kWarning, kRouting, "flow_stalled"};
  }
  LogHeading operator()(const direct::ConfigurationApplied&) const {
    return {LogLevel::kInfo, kState, "configuration_applied"};
  }
  LogHeading operator()(const direct::ServerChanged&) const {
    return {LogLevel::kInfo, kState, "server_changed"};
  }
  LogHeading operator()(const direct::ServerReachChanged&) const {
    return {LogLevel::kWarning, kState, "server_reach_changed"};
  }
  LogHeading operator()(const direct::ZoneChanged&) const {
    return {LogLevel::kInfo, kState, "zone_changed"};
  }
  LogHeading operator()(const direct::AdmissionChanged& e) const {
    return {e.limited ? LogLevel::kWarning : LogLevel::kInfo, kRouting,
            "admission_changed"};
  }
  LogHeading operator()(const direct::OverflowChanged&) const {
    return {LogLevel::kInfo, kRouting, "overflow_changed"};
  }
  LogHeading operator()(const direct::FleetLoadChanged& e) const {
    return {e.recent ? LogLevel::kInfo : LogLevel::kWarning, kFleet,
            "fleet_load_changed"};
  }
  LogHeading operator()(const direct::FeedChanged& e) const {
    return {e.connected ? LogLevel::kInfo : LogLevel::kWarning, kState,
            "feed_changed"};
  }
  LogHeading operator()(const direct::StaleStateIgnored&) const {
    return {LogLevel::kWarning, kState, "stale_state_ignored"};
  }
  LogHeading operator()(const direct::OlderConfigurationIgnored&) const {
    return {LogLevel::kWarning, kState, "older_configuration_ignored"};
  }
  LogHeading operator()(const direct::ServerReportDeferred&) const {
    return {LogLevel::kWarning, kState, "server_report_deferred"};
  }
  LogHeading operator()(const ProcessStarted&) const {
    return {LogLevel::kInfo, kProcess, "process_started"};
  }
  LogHeading operator()(const StartDelayed&) const {
    return {LogLevel::kWarning, kProcess, "start_delayed"};
  }
  LogHeading operator()(const ProcessStopping&) const {
    return {LogLevel::kInfo, kProcess, "process_stopping"};
  }
  LogHeading operator()(const ProcessStopped&) const {
    return {LogLevel::kInfo, kProcess, "process_stopped"};
  }
  LogHeading operator()(const SettingsReloaded& e) const {
    return {e.accepted ? LogLevel::kInfo : LogLevel::kError, kProcess,
            "settings_reloaded"};
  }
  LogHeading operator()(const SettingIgnored&) const {
    return {LogLevel::kWarning, kProcess, "setting_ignored"};
  }
  LogHeading operator()(const StateUnconfirmed&) const {
    return {LogLevel::kWarning, kState, "state_unconfirmed"};
  }
  LogHeading operator()(const StateConfirmedAgain&) const {
    return {LogLevel::kInfo, kState, "state_confirmed_again"};
  }
  LogHeading operator()(const StoreCallTimedOut&) const {
    return {LogLevel::kWarning, kState, "store_call_timed_out"};
  }
  LogHeading operator()(const StoreCallFailed&) const {
    return {LogLevel::kWarning, kState, "store_call_failed"};
  }
  LogHeading operator()(const PeerConnectionLost&) const {
    return {LogLevel::kWarning, kFleet, "peer_connection_lost"};
  }
  LogHeading operator()(const ConnectionsBounded&) const {
    return {LogLevel::kWarning, kProcess, "connections_bounded"};
  }
  LogHeading operator()(const EntriesSkipped&) const {
    return {LogLevel::kWarning, kState, "entries_skipped"};
  }
  LogHeading operator()(const ObjectUnreadable&) const {
    return {LogLevel::kWarning, kState, "object_unreadable"};
  }
  LogHeading operator()(const StoreEpochChanged&) const {
    return {LogLevel::kWarning, kState, "store_epoch_changed"};
  }
  LogHeading operator()(const RetainedStateTold&) const {
    return {LogLevel::kInfo, kState, "retained_state_told"};
  }
  LogHeading operator()(const ReadyChanged&) const {
    return {LogLevel::kInfo, kProcess, "ready_changed"};
  }
  LogHeading operator()(const MemberChanged&) const {
    return {LogLevel::kInfo, kFleet, "member_changed"};
  }
  LogHeading operator()(const WatcherUnavailable&) const {
    return {LogLevel::kWarning, kFleet, "watcher_not_served"};
  }
  LogHeading operator()(const MessageRefused&) const {
    return {LogLevel::kWarning, kFleet, "message_refused"};
  }
  LogHeading operator()(const PauseNoticed&) const {
    return {LogLevel::kWarning, kProcess, "pause_noticed"};
  }
};

// Returns the JSON fields of an event, in the order in which they are written.
struct FieldsOf {
  ordered_json operator()(const direct::FlowOpened& e) const {
    return {{"flow", FlowId(e.flow)},
            {"reason", ReasonName(e.reason)},
            {"server", e.server},
            {"server_zone", e.server_zone},
            {"repeat", e.repeat},
            {"server_flows", e.server_flows},
            {"candidates", e.candidates},
            {"overflow", e.overflow},
            {"configuration", e.configuration},
            {"servers_age_ms", MillisecondsOrNull(e.servers_age)}};
  }
  ordered_json operator()(const direct::FlowRefused& e) const {
    return {{"flow", FlowId(e.flow)},
            {"reason", ReasonName(e.reason)},
            {"server", e.server},
            {"cookie", e.cookie},
            {"evidence_age_ms", MillisecondsOrNull(e.evidence_age)},
            {"leaving", e.excluded.leaving},
            {"zone_out", e.excluded.zone_out},
            {"lost", e.excluded.lost},
            {"limited", e.excluded.limited},
            {"admitted_share", e.admitted_share},
            {"priority", e.priority},
            {"over_caller_limit", e.over_caller_limit},
            {"figures_recent", e.figures_recent},
            {"configuration", e.configuration},
            {"servers_age_ms", MillisecondsOrNull(e.servers_age)}};
  }
  ordered_json operator()(const direct::FlowStalled& e) const {
    return {{"flow", FlowId(e.flow)},
            {"server", e.server},
            {"waiting_ms", MillisecondsOrNull(e.waiting)},
            {"server_silence_ms", MillisecondsOrNull(e.server_silence)}};
  }
  ordered_json operator()(const direct::ConfigurationApplied& e) const {
    return {{"configuration", e.configuration},
            {"revision", RevisionOf(e.revision)},
            {"epoch", EpochOf(e.revision)},
            {"routes", e.routes},
            {"services", e.services}};
  }
  ordered_json operator()(const direct::ServerChanged& e) const {
    return {{"server", e.server},
            {"service", e.service},
            {"zone", e.zone},
            {"presence", PresenceName(e.presence)},
            {"draining", e.draining},
            {"cold_for_ms", MillisecondsOrNull(e.cold_for)},
            {"incarnation", e.incarnation},
            {"report_number", e.report_number},
            {"revision", RevisionOf(e.revision)},
            {"epoch", EpochOf(e.revision)}};
  }
  ordered_json operator()(const direct::ServerReachChanged& e) const {
    return {{"server", e.server},
            {"zone", e.zone},
            {"reach", ReachName(e.reach)},
            {"silence_ms", MillisecondsOrNull(e.silence)},
            {"failed_probes", e.failed_probes}};
  }
  ordered_json operator()(const direct::ZoneChanged& e) const {
    return {{"zone", e.zone},
            {"out", e.out},
            {"revision", RevisionOf(e.revision)},
            {"epoch", EpochOf(e.revision)}};
  }
  ordered_json operator()(const direct::AdmissionChanged& e) const {
    return {{"service", e.service},
            {"limited", e.limited},
            {"requests_per_slot", e.requests_per_slot},
            {"admitted_share", e.admitted_share},
            {"figures_recent", e.figures_recent}};
  }
  ordered_json operator()(const direct::OverflowChanged& e) const {
    ordered_json utilisation = ordered_json::object();
    for (const direct::ZoneUtilisation& zone : e.zones) {
      utilisation[zone.zone] = zone.utilisation < 0
                                   ? ordered_json()
                                   : ordered_json(zone.utilisation);
    }
    return {{"service", e.service},
            {"active", e.active},
            {"share", e.share},
            {"utilisation", std::move(utilisation)},
            {"load_age_ms", MillisecondsOrNull(e.load_age)}};
  }
  ordered_json operator()(const direct::FleetLoadChanged& e) const {
    return {{"recent", e.recent}, {"age_ms", MillisecondsOrNull(e.age)}};
  }
  ordered_json operator()(const direct::FeedChanged& e) const {
    return {{"feed", e.feed},
            {"connected", e.connected},
            {"code", e.code},
            {"away_ms", MillisecondsOrNull(e.away)}};
  }
  ordered_json operator()(const direct::StaleStateIgnored& e) const {
    return {{"feed", e.feed},
            {"offered", RevisionOf(e.offered)},
            {"held", RevisionOf(e.held)},
            {"offered_epoch", EpochOf(e.offered)},
            {"held_epoch", EpochOf(e.held)}};
  }
  ordered_json operator()(const direct::OlderConfigurationIgnored& e) const {
    return {{"offered", e.offered},
            {"held", e.held},
            {"revision", RevisionOf(e.revision)},
            {"epoch", EpochOf(e.revision)}};
  }
  ordered_json operator()(const direct::ServerReportDeferred& e) const {
    return {{"server", e.server},
            {"presence", PresenceName(e.presence)},
            {"draining", e.draining},
            {"incarnation", e.incarnation},
            {"held_incarnation", e.held_incarnation},
            {"report_number", e.report_number},
            {"held_report_number", e.held_report_number},
            {"revision", RevisionOf(e.revision)},
            {"epoch", EpochOf(e.revision)}};
  }
  ordered_json operator()(const ProcessStarted& e) const {
    return {{"name", e.name}, {"zone", e.zone}, {"packets", e.packets}};
  }
  ordered_json operator()(const StartDelayed& e) const {
    // Not `part`, which each line has.
    return {{"delayed", e.part}, {"error", e.error}, {"attempts", e.attempts}};
  }
  ordered_json operator()(const ProcessStopping& e) const {
    return {{"signal", e.signal}};
  }
  ordered_json operator()(const ProcessStopped& e) const {
    return {{"after_ms", MillisecondsOrNull(e.since_signal)},
            {"quiet_ms", MillisecondsOrNull(e.since_last_packet)},
            {"open_flows", e.open_flows}};
  }
  ordered_json operator()(const SettingsReloaded& e) const {
    return {{"accepted", e.accepted},
            {"error", e.error},
            {"needs_restart", e.needs_restart}};
  }
  ordered_json operator()(const SettingIgnored& e) const {
    return {{"field", e.field}, {"error", e.error}};
  }
  ordered_json operator()(const StateUnconfirmed& e) const {
    return {{"feed", e.feed},
            {"last_from", e.last_from},
            {"age_ms", MillisecondsOrNull(e.age)},
            {"watcher", e.watcher}};
  }
  ordered_json operator()(const StateConfirmedAgain& e) const {
    return {{"feed", e.feed},
            {"from", e.from},
            {"unconfirmed_ms", MillisecondsOrNull(e.unconfirmed)}};
  }
  ordered_json operator()(const StoreCallTimedOut& e) const {
    return {{"feed", e.feed}};
  }
  ordered_json operator()(const StoreCallFailed& e) const {
    return {{"feed", e.feed}, {"code", e.code}, {"error", e.error}};
  }
  ordered_json operator()(const PeerConnectionLost& e) const {
    return {{"peer", ToString(e.peer)},
            {"idle_ms", MillisecondsOrNull(e.idle)}};
  }
  ordered_json operator()(const ConnectionsBounded& e) const {
    return {{"listen", ToString(e.listen)},
            {"closed", e.closed},
            {"refused", e.refused},
            {"pauses", e.pauses}};
  }
  ordered_json operator()(const EntriesSkipped& e) const {
    return {{"feed", e.feed}, {"entries", e.entries}, {"error", e.error}};
  }
  ordered_json operator()(const ObjectUnreadable& e) const {
    return {{"key", e.key},
            {"revision", RevisionOf(e.revision)},
            {"epoch", EpochOf(e.revision)},
            {"error", e.error},
            {"left_out", e.left_out}};
  }
  ordered_json operator()(const StoreEpochChanged& e) const {
    return {{"feed", e.feed},
            {"epoch", EpochOf(e.answered)},
            {"previous_epoch", EpochOf(e.held)},
            {"revision", RevisionOf(e.answered)},
            {"held", RevisionOf(e.held)}};
  }
  ordered_json operator()(const RetainedStateTold& e) const {
    return {{"feed", e.feed},
            {"from", e.from},
            {"objects", e.objects},
            {"age_ms", MillisecondsOrNull(e.age)},
            {"revision", RevisionOf(e.store_version)},
            {"epoch", EpochOf(e.store_version)}};
  }
  ordered_json operator()(const ReadyChanged& e) const {
    return {{"ready", e.ready}, {"synced", e.synced}, {"leaving", e.leaving}};
  }
  ordered_json operator()(const MemberChanged& e) const {
    return {{"member", e.member}, {"zone", e.zone}, {"change", e.change}};
  }
  ordered_json operator()(const WatcherUnavailable& e) const {
    return {{"member", e.member}};
  }
  ordered_json operator()(const MessageRefused& e) const {
    return {
        {"from", ToString(e.from)}, {"error", e.error}, {"refused", e.refused}};
  }
  ordered_json operator()(const PauseNoticed& e) const {
    return {{"lasted_ms", MillisecondsOrNull(e.lasted)}};
  }
};

template <typename E>
void WriteLine(EventLog& log, const E& event) {
  const LogHeading heading = std::visit(HeadingOf{}, event);
  if (log.Admit(heading.level, heading.event)) {
    log.Write(heading.level, heading.part, heading.event,
              std::visit(FieldsOf{}, event));
  }
}

}  // namespace

LogLine ToLine(const direct::Event& event) {
  return {std::visit(HeadingOf{}, event), std::visit(FieldsOf{}, event)};
}
LogLine ToLine(const ProcessEvent& event) {
  return {std::visit(HeadingOf{}, event), std::visit(FieldsOf{}, event)};
}

void EventWriter::Write(const direct::Event& event) {
  WriteLine(log_, event);
}
void EventWriter::Write(const ProcessEvent& event) {
  WriteLine(log_, event);
}

}  // namespace gcw::direct_balancer
