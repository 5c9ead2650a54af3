#include "src/soak/invariant_checker.h"

#include <fmt/format.h>

#include <utility>

#include "src/soak/plan.h"

namespace gcw::soak {
namespace {

// The users' bounds on how long daemons may open flows in a zone after it was
// taken out of service, and on a route after it was removed.
constexpr absl::Duration kZoneOutBound = absl::Seconds(5);
constexpr absl::Duration kRouteBound = absl::Seconds(3);
// The age up to which daemons use the load figures of others.
constexpr absl::Duration kMaxFigureAge = absl::Milliseconds(1500);
// Requests that start later than this before the end of the run may have no
// time left for an answer.
constexpr absl::Duration kMinAnswerTime = absl::Seconds(1);
constexpr std::size_t kMaxFindings = 20;
// The users' bound on the flows that all daemons together open on a cold server
// in a second.
constexpr std::size_t kMaxColdFlows = 5;

}  // namespace

std::string DaemonName(std::size_t daemon) {
  return fmt::format("daemon {}", daemon);
}
std::string ServerName(std::size_t server) {
  return fmt::format("server {}", server);
}

void InvariantChecker::Start(Deployment& deployment) {
  deployment_ = &deployment;
  start_ = deployment.now();
}

void InvariantChecker::OnRequest(absl::Time started) {
  counts_.requests += started < start_ + length_ ? 1 : 0;
  counts_.fault_free_requests += IsInFaultFreeEnd(started) ? 1 : 0;
}

void InvariantChecker::OnFinished(const direct::FlowKey& flow,
                                  absl::Time started,
                                  bool answered) {
  const std::uint64_t count = answered ? 1 : 0;
  if (deployment_->now() < start_ + length_) {
    counts_.answered += count;
    counts_.fault_free_answered += IsInFaultFreeEnd(started) ? count : 0;
  }
  const std::size_t zone = deployment_->CallerZone(flow);
  if (deployment_->IsLoaded(zone, started) &&
      load_.OthersHaveRoomSince(zone) <= started) {
    ++counts_.busy_zone_requests;
    counts_.busy_zone_answered += count;
    if (!answered) {
      AddFinding(fmt::format("a request of busy zone {}, last on {}, failed",
                             zone, ToString(flow.caller)));
    }
  }
}

void InvariantChecker::OnRefused(const direct::FlowKey& flow) {
  if (load_.FleetHasRoomSince() <= deployment_->now() - kMaxFigureAge) {
    ++counts_.refused_with_room;
    AddFinding(fmt::format("{} was refused while the fleet had room ({})",
                           ToString(flow.caller), load_.ToString()));
  }
}

void InvariantChecker::MeasureLoad() {
  load_.Measure(*deployment_, impairments_);
}

void InvariantChecker::OnWrongAnswer() {
  ++counts_.wrong_answers;
  AddFinding("a caller got the answer to another caller's request");
}

void InvariantChecker::OnChangedBytes(const std::string& where) {
  ++counts_.changed_bytes;
  AddFinding(where);
}

bool InvariantChecker::IsInFaultFreeEnd(absl::Time started) const {
  return started >
             start_ + length_ - kFaultFreeEnd + Impairments::kSettleTime &&
         started < start_ + length_ - kMinAnswerTime;
}

void InvariantChecker::AddFinding(std::string finding) {
  if (findings_.size() < kMaxFindings) {
    const double at = absl::ToDoubleSeconds(deployment_->now() - start_);
    findings_.push_back(fmt::format("{:.3f} s {}", at, std::move(finding)));
  }
}

bool InvariantChecker::IsInSync(std::size_t daemon) const {
  const absl::Time now = deployment_->now();
  return impairments_.IsSettled(DaemonName(daemon), now) &&
         impairments_.IsSettled("store", now) &&
         now - start_ > Impairments::kSettleTime;
}

void InvariantChecker::OnFlowOpen(std::size_t server,
                                  std::size_t daemon,
                                  const direct::FlowKey& flow) {
  CheckColdFlows(server, daemon);
  if (!IsInSync(daemon)) {
    return;
  }
  const ServerRecord& record = deployment_->servers()[server];
  const absl::Time now = deployment_->now();
  if (now - record.draining_since > kDrainBound) {
    ++counts_.to_leaving_late;
    AddFinding(fmt::format("b{} opened a flow on server {}, which is draining",
                           daemon, server));
  }
  const auto out_since = deployment_->ZoneOutSince(record.zone);
  if (out_since && now - *out_since > kZoneOutBound) {
    ++counts_.to_out_zone_late;
    AddFinding(
        fmt::format("b{} opened a flow in zone {}, which is out of service",
                    daemon, record.zone));
  }
  if (Deployment::IsOptional(flow) && !deployment_->optional_route() &&
      now - deployment_->routes_changed_at() > kRouteBound) {
    ++counts_.old_routes;
    AddFinding(fmt::format("b{} opened a flow on a removed route", daemon));
  }
}

void InvariantChecker::CheckColdFlows(std::size_t server, std::size_t daemon) {
  const absl::Time now = deployment_->now();
  if (now >= deployment_->servers()[server].cold_until) {
    return;
  }
  std::deque<absl::Time>& flows = cold_flows_[server];
  flows.push_back(now);
  while (now - flows.front() >= absl::Seconds(1)) {
    flows.pop_front();
  }
  if (flows.size() > kMaxColdFlows) {
    ++counts_.cold_overload;
    AddFinding(fmt::format("b{} opened flow {} of a second on cold server {}",
                           daemon, flows.size(), server));
  }
}

bool InvariantChecker::IsUnimpaired(std::size_t server) const {
  const absl::Time now = deployment_->now();
  return impairments_.IsSettled(ServerName(server), now) &&
         impairments_.IsSettled("servers", now) &&
         impairments_.IsSettled("fleet", now) &&
         impairments_.IsSettled("zones", now);
}

// A reset by a daemon breaks the flow if its server is up, has the flow and is
// unimpaired.
void InvariantChecker::OnDaemonReset(const direct::FlowKey& flow) {
  if (Deployment::IsOptional(flow)) {
    return;  // The optional route may have been removed.
  }
  const auto& servers = deployment_->servers();
  for (std::size_t i = 0; i < servers.size(); ++i) {
    if (servers[i].up && servers[i].server->HasFlow(flow) && IsUnimpaired(i)) {
      ++counts_.broken_flows;
      AddFinding(fmt::format(
          "{} was reset by a daemon although server {} has the flow",
          ToString(flow.caller), i));
    }
  }
}

void InvariantChecker::OnRequestExecuted(std::size_t server,
                                         const std::string& request) {
  const auto [it, inserted] = server_by_request_.try_emplace(request, server);
  if (!inserted && it->second != server) {
    ++counts_.run_twice;
    AddFinding(fmt::format("request {} ran on servers {} and {}", request,
                           it->second, server));
  }
}

}  // namespace gcw::soak
