#include "src/soak/judge.h"

#include <fmt/format.h>

#include <utility>

#include "src/soak/plan.h"

namespace gcw::soak {
namespace {

// The users' bounds.
constexpr absl::Duration kZoneOutBound = absl::Seconds(5);
constexpr absl::Duration kRouteBound = absl::Seconds(3);
constexpr std::size_t kMaxFindings = 20;

}  // namespace

std::string DaemonName(std::size_t daemon) {
  return fmt::format("daemon {}", daemon);
}
std::string ServerName(std::size_t server) {
  return fmt::format("server {}", server);
}

void Judge::Begin(Deployment& deployment) {
  deployment_ = &deployment;
  start_ = deployment.now();
}

void Judge::OnRequest(absl::Time started) {
  ++counts_.requests;
  counts_.fault_free_requests += InCalmEnd(started) ? 1 : 0;
}

void Judge::OnAnswered(absl::Time started) {
  ++counts_.answered;
  counts_.fault_free_answered += InCalmEnd(started) ? 1 : 0;
}

void Judge::OnWrongAnswer() {
  ++counts_.wrong_answers;
  Note("an answer of another caller's request");
}

void Judge::OnChangedBytes(const std::string& where) {
  ++counts_.changed_bytes;
  Note(where);
}

bool Judge::InCalmEnd(absl::Time when) const {
  return when > start_ + length_ - kCalmEnd + Impairments::kSettle &&
         when < start_ + length_ - absl::Seconds(1);
}

void Judge::Note(std::string finding) {
  if (findings_.size() < kMaxFindings) {
    const double at = absl::ToDoubleSeconds(deployment_->now() - start_);
    findings_.push_back(fmt::format("{:.3f} s {}", at, std::move(finding)));
  }
}

bool Judge::InTouch(std::size_t daemon) const {
  const absl::Time now = deployment_->now();
  return impaired_.Calm(DaemonName(daemon), now) &&
         impaired_.Calm("store", now) && now - start_ > Impairments::kSettle;
}

void Judge::OnOpening(std::size_t server,
                      std::size_t daemon,
                      const direct::FlowKey& flow) {
  if (!InTouch(daemon)) {
    return;
  }
  const ServerSite& site = deployment_->servers()[server];
  const absl::Time now = deployment_->now();
  if (now - site.draining_since > kDrainBound) {
    ++counts_.to_leaving_late;
    Note(fmt::format("b{} opened a flow on server {}, which leaves", daemon,
                     server));
  }
  const auto out_since = deployment_->OutSince(site.zone);
  if (out_since && now - *out_since > kZoneOutBound) {
    ++counts_.to_out_zone_late;
    Note(fmt::format("b{} opened a flow in zone {}, which is out", daemon,
                     site.zone));
  }
  if (Deployment::IsOptional(flow) && !deployment_->optional_route() &&
      now - deployment_->routes_changed() > kRouteBound) {
    ++counts_.old_routes;
    Note(fmt::format("b{} opened a flow of a dropped route", daemon));
  }
}

bool Judge::IsWhole(std::size_t server) const {
  const absl::Time now = deployment_->now();
  return impaired_.Calm(ServerName(server), now) &&
         impaired_.Calm("servers", now) && impaired_.Calm("fleet", now) &&
         impaired_.Calm("zones", now);
}

// A reset of the system breaks a flow if its server lives, holds it and has
// not been impaired lately.
void Judge::OnSystemReset(const direct::FlowKey& flow) {
  if (Deployment::IsOptional(flow)) {
    return;  // Its route may have been dropped.
  }
  const auto& servers = deployment_->servers();
  for (std::size_t i = 0; i < servers.size(); ++i) {
    if (servers[i].up && servers[i].server->Holds(flow) && IsWhole(i)) {
      ++counts_.broken_flows;
      Note(fmt::format("{} was reset though server {} holds it",
                       ToString(flow.caller), i));
    }
  }
}

void Judge::OnRan(std::size_t server, const std::string& request) {
  const auto [it, fresh] = ran_on_.try_emplace(request, server);
  if (!fresh && it->second != server) {
    ++counts_.run_twice;
    Note(fmt::format("request {} ran on servers {} and {}", request, it->second,
                     server));
  }
}

}  // namespace gcw::soak
