#include "tests/dispatch/sim.h"

#include <algorithm>
#include <cmath>

#include "fmt/format.h"
#include "gcw/base/hash.h"
#include "gcw/dispatch/codec.h"

namespace gcw::dispatch {
namespace {

// Mean latency of a datagram between zones; within a zone it is a fifth of
// this.
constexpr absl::Duration kZoneHopLatency = absl::Microseconds(1000);
// A restarted server sustains kColdFirstShare of its slots at first, and all of
// them after kColdDuration.
constexpr absl::Duration kColdDuration = absl::Seconds(4);
constexpr double kColdFirstShare = 0.34;
// Time for a daemon to react to the first response of a restarted server. Only
// attempts after that count as overload of a cold server.
constexpr absl::Duration kRestartReactionTime = absl::Milliseconds(100);
constexpr std::size_t kAnswerBytes = 2500;

// The answer's body, which the caller can verify: it depends only on the id.
Bytes BodyOf(const std::string& id) {
  Bytes body(kAnswerBytes);
  std::uint64_t x = StableHash(id);
  for (std::uint8_t& byte : body) {
    x = MixHash(x, 1);
    byte = static_cast<std::uint8_t>(x);
  }
  return body;
}

}  // namespace

Sim::Sim(const SimOptions& options)
    : options_(options),
      random_(options.seed),
      snapshot_(std::make_shared<config::Snapshot>()) {
  snapshot_->revision = 1;
  const auto add_service = [&](const std::string& name,
                               const std::string& organisation, int servers,
                               std::uint16_t port) {
    config::Service service;
    service.name = name;
    service.organisation = organisation;
    service.addresses = {{0x0a010101, port}};
    for (int i = 0; i < servers; ++i) {
      SimServer server;
      server.name = fmt::format("{}-{}", name, i + 1);
      server.zone = options.zones[i % options.zones.size()];
      server.address = {0x0a020000 + port * 256U + i, 7000};
      server.slots = options.slots;
      server.busy_updated = now_;
      config::BackendServer config;
      config.name = server.name;
      config.address = server.address;
      config.zone = server.zone;
      config.slots = server.slots;
      snapshot_->servers[server.name] = config;
      service.servers.push_back({server.name, 100});
      servers_[server.name] = server;
    }
    snapshot_->organisations[organisation] = {organisation, "", 1};
    snapshot_->services[name] = service;
  };
  for (const std::string& zone : options.zones) {
    snapshot_->zones[zone] = {zone, config::ZoneState::kIn, 1};
  }
  add_service("main", "valtellina", options.main_servers, 80);
  add_service("small", "tayside", options.small_servers, 81);
  for (int i = 0; i < options.daemons; ++i) {
    daemons_.emplace_back();
    daemons_.back().name = fmt::format("d{}", i + 1);
    daemons_.back().zone = options.zones[i % options.zones.size()];
  }
  for (int i = 0; i < options.daemons; ++i) {
    StartDaemon(i);
  }
}

void Sim::Schedule(absl::Duration after, std::function<void()> action) {
  events_.push({now_ + after, ++next_event_order_, std::move(action)});
}

void Sim::At(absl::Duration after, std::function<void()> action) {
  Schedule(after, std::move(action));
}

void Sim::Deliver(const std::string& from_zone,
                  const std::string& to_zone,
                  std::function<void()> action) {
  const bool cut =
      from_zone != to_zone && !from_zone.empty() &&
      (cut_zones_.contains(from_zone) || cut_zones_.contains(to_zone));
  if (cut || Chance(options_.loss)) {
    return;
  }
  const absl::Duration latency =
      from_zone == to_zone ? kZoneHopLatency / 5 : kZoneHopLatency;
  if (Chance(options_.duplication)) {
    Schedule(latency + absl::Milliseconds(300) * Uniform(), action);
  }
  Schedule(latency * (0.8 + 0.4 * Uniform()), std::move(action));
}

void Sim::CallDaemon(int daemon, std::function<void(Dispatcher&)> call) {
  Daemon& target = daemons_[daemon];
  if (!target.up) {
    return;
  }
  if (target.paused_until > now_) {
    // The datagram stays in the paused daemon's socket buffer.
    Schedule(target.paused_until - now_,
             [this, daemon, call] { CallDaemon(daemon, call); });
    return;
  }
  call(*target.dispatcher);
  PerformActions(daemon);
}

void Sim::PerformActions(int daemon) {
  const std::string zone = daemons_[daemon].zone;
  for (Action& action : daemons_[daemon].dispatcher->TakeActions()) {
    if (auto* to_server = std::get_if<SendToServer>(&action)) {
      for (auto& [name, server] : servers_) {
        if (server.address == to_server->server) {
          Deliver(zone, server.zone,
                  [this, daemon, &server = server, m = to_server->message] {
                    OnServer(server, daemon, m);
                  });
        }
      }
    } else if (auto* decision = std::get_if<Decision>(&action)) {
      if (decision->kind == DecisionKind::kRefused) {
        ++refusal_reasons_[fmt::format("{} {}", ResultCodeName(decision->code),
                                       decision->reason)];
      }
    } else if (auto* to_caller = std::get_if<SendToCaller>(&action)) {
      Deliver("", "x", [this, a = *to_caller] {
        OnCaller(a.caller, a.service_address, a.message);
      });
    } else if (auto* to_peer = std::get_if<SendToPeer>(&action)) {
      for (int i = 0; i < options_.daemons; ++i) {
        if (daemons_[i].name == to_peer->member) {
          Deliver(
              zone, daemons_[i].zone,
              [this, i, from = daemons_[daemon].name, m = to_peer->message] {
                CallDaemon(i, [=, this](Dispatcher& d) {
                  d.OnPeerMessage(from, m, now_);
                });
              });
        }
      }
    }
  }
}

void Sim::Tick(int daemon, std::uint64_t boot_id) {
  Daemon& target = daemons_[daemon];
  if (!target.up || target.boot_id != boot_id) {
    return;
  }
  absl::Duration next = absl::Milliseconds(1);
  if (target.paused_until > now_) {
    next = target.paused_until - now_;
  } else {
    if (target.dispatcher->NextTick() <= now_) {
      target.dispatcher->OnTick(now_);
      PerformActions(daemon);
    }
    next = std::clamp(target.dispatcher->NextTick() - now_,
                      absl::Milliseconds(1), absl::Milliseconds(5));
  }
  if (target.leaving && target.dispatcher->drained()) {
    target.up = false;
    PublishMembers();
    return;
  }
  Schedule(next, [this, daemon, boot_id] { Tick(daemon, boot_id); });
}

void Sim::StartDaemon(int daemon) {
  Daemon& target = daemons_[daemon];
  target.up = true;
  target.leaving = false;
  target.boot_id = MixHash(options_.seed, ++boot_count_) | 1;
  target.paused_until = absl::InfinitePast();
  DispatchOptions options;
  options.policy = options_.policy;
  options.self = target.name;
  options.zone = target.zone;
  options.seed = options_.seed;
  options.boot_id = target.boot_id;
  options.warm_up = options_.warm_up;
  options.retry_share = options_.retry_share;
  options.retry_burst = options_.retry_burst;
  target.dispatcher = std::move(Dispatcher::Make(options).value());
  target.dispatcher->ApplySnapshot(snapshot_, now_);
  target.known_dead.clear();
  for (Daemon& other : daemons_) {
    other.known_dead.erase(daemon);
  }
  PublishMembers();
  Schedule(absl::ZeroDuration(),
           [this, daemon, boot_id = target.boot_id] { Tick(daemon, boot_id); });
}

// Each daemon learns of the death of another daemon after its own random delay.
void Sim::PublishMembers() {
  for (int i = 0; i < options_.daemons; ++i) {
    for (int j = 0; j < options_.daemons; ++j) {
      if (i != j && !daemons_[j].up && !daemons_[i].known_dead.contains(j)) {
        Schedule(options_.failure_detection_time * (0.3 + 0.7 * Uniform()),
                 [this, i, j] {
                   if (!daemons_[j].up) {
                     daemons_[i].known_dead.insert(j);
                   }
                 });
      }
    }
    Schedule(absl::Milliseconds(200) * Uniform(), [this, i] {
      if (!daemons_[i].up) {
        return;
      }
      std::vector<Member> members;
      for (int j = 0; j < options_.daemons; ++j) {
        if (!daemons_[i].known_dead.contains(j)) {
          members.push_back(
              {daemons_[j].name, daemons_[j].zone,
               daemons_[j].leaving ? MemberState::kLeaving : MemberState::kLive,
               daemons_[j].boot_id});
        }
      }
      CallDaemon(i,
                 [=, this](Dispatcher& d) { d.ApplyMembers(members, now_); });
    });
  }
  const bool someone_dead = std::any_of(daemons_.begin(), daemons_.end(),
                                        [](const Daemon& d) { return !d.up; });
  if (someone_dead) {
    Schedule(absl::Milliseconds(500), [this] { PublishMembers(); });
  }
}

void Sim::PublishSnapshot() {
  const auto copy = std::make_shared<config::Snapshot>(*snapshot_);
  for (int i = 0; i < options_.daemons; ++i) {
    Schedule(absl::Seconds(1) * Uniform(), [this, i, copy] {
      CallDaemon(i, [=, this](Dispatcher& d) { d.ApplySnapshot(copy, now_); });
    });
  }
}

void Sim::SetZone(const std::string& zone, config::ZoneState state) {
  snapshot_ = std::make_shared<config::Snapshot>(*snapshot_);
  snapshot_->zones[zone].state = state;
  ++snapshot_->revision;
  PublishSnapshot();
}

void Sim::SetServer(const std::string& name, config::ServerState state) {
  snapshot_ = std::make_shared<config::Snapshot>(*snapshot_);
  snapshot_->servers[name].state = state;
  ++snapshot_->revision;
  PublishSnapshot();
}

void Sim::KillDaemon(int daemon) {
  daemons_[daemon].up = false;
  daemons_[daemon].dispatcher.reset();
  PublishMembers();
}

void Sim::PauseDaemon(int daemon, absl::Duration length) {
  daemons_[daemon].paused_until = now_ + length;
}

void Sim::StopDaemon(int daemon) {
  daemons_[daemon].leaving = true;
  CallDaemon(daemon, [=, this](Dispatcher& d) { d.BeginShutdown(now_); });
  PublishMembers();
}

void Sim::UpdateBusyTime(SimServer& server) {
  server.busy_seconds += absl::ToDoubleSeconds(now_ - server.busy_updated) *
                         static_cast<double>(server.runs.size());
  server.busy_updated = now_;
}

void Sim::RestartServer(const std::string& name) {
  SimServer& server = servers_.at(name);
  UpdateBusyTime(server);
  server.runs.clear();
  ++server.incarnation;
  server.up = true;
  server.cold_since = now_;
  server.first_response = absl::InfiniteFuture();
}

void Sim::KillServer(const std::string& name) {
  SimServer& server = servers_.at(name);
  UpdateBusyTime(server);
  server.runs.clear();
  server.up = false;
}

std::uint32_t Sim::SustainableSlots(const SimServer& server) const {
  const double progress = std::min(
      1.0, absl::FDivDuration(now_ - server.cold_since, kColdDuration));
  const double share = kColdFirstShare + (1 - kColdFirstShare) * progress;
  return std::max(1U, static_cast<std::uint32_t>(server.slots * share));
}

void Sim::OnServer(SimServer& server, int daemon, const Message& message) {
  if (!server.up) {
    return;
  }
  const auto reply = [&](Message m) {
    server.first_response = std::min(server.first_response, now_);
    Deliver(server.zone, daemons_[daemon].zone,
            [this, daemon, address = server.address, m = std::move(m)] {
              CallDaemon(daemon, [=, this](Dispatcher& d) {
                d.OnServerMessage(address, m, now_);
              });
            });
  };
  if (const auto* cancel = std::get_if<Cancel>(&message)) {
    UpdateBusyTime(server);
    server.runs.erase(cancel->attempt_id);
    return;
  }
  if (const auto* query = std::get_if<LoadQuery>(&message)) {
    // Load reports are always stale: an idle, healthy server that never
    // restarted.
    reply(LoadReport{query->nonce, server.name, 0, server.slots, 0, true, 1});
    return;
  }
  const auto* request = std::get_if<Request>(&message);
  if (request == nullptr ||
      !server.received_attempts.insert(request->attempt_id).second) {
    return;
  }
  if (!server.name.starts_with(request->service)) {
    ++totals_.misdelivered;
    return;
  }
  ++totals_.attempts;
  const auto in_progress = static_cast<std::uint32_t>(server.runs.size()) + 1;
  const bool cold = now_ < server.cold_since + kColdDuration;
  if (cold && now_ > server.first_response + kRestartReactionTime) {
    totals_.cold_overload =
        std::max(totals_.cold_overload,
                 static_cast<double>(in_progress) / SustainableSlots(server));
  }
  if (in_progress > server.slots || request->deadline <= absl::ZeroDuration() ||
      Chance(server.faults.shed_share)) {
    ++totals_.sheds;
    reply(Shed{request->id, request->attempt_id, server.name,
               server.incarnation});
    return;
  }
  StartRun(server, daemon, *request);
}

void Sim::StartRun(SimServer& server, int daemon, const Request& request) {
  SimRequest& record = requests_.at(request.id);
  ++record.runs;
  RecordViolations(record);
  UpdateBusyTime(server);
  server.runs[request.attempt_id] = request.id;
  const double uniform =
      static_cast<double>(StableHash(request.id, 7) >> 11) * 0x1.0p-53;
  absl::Duration run_time = options_.service_time * server.faults.slow_factor *
                            std::min(3.0, -std::log(1.0 - uniform));
  const auto in_progress = static_cast<double>(server.runs.size());
  run_time *= std::max(1.0, in_progress / SustainableSlots(server));
  const std::uint64_t incarnation = server.incarnation;
  const bool finishes = run_time <= request.deadline;
  Schedule(std::min(run_time, request.deadline),
           [this, &server, daemon, request, incarnation, finishes, run_time] {
             UpdateBusyTime(server);
             const bool ran = server.runs.erase(request.attempt_id) > 0;
             if (ran && finishes && server.incarnation == incarnation) {
               Schedule(server.faults.answer_delay,
                        [this, &server, daemon, request, run_time] {
                          SendAnswer(server, daemon, request, run_time);
                        });
             }
           });
}

void Sim::SendAnswer(SimServer& server,
                     int daemon,
                     const Request& request,
                     absl::Duration run_time) {
  const Bytes body = BodyOf(request.id);
  AnswerPart part;
  part.id = request.id;
  part.service = request.service;
  part.parts = (body.size() + kMaxPartBytes - 1) / kMaxPartBytes;
  part.server = server.name;
  part.incarnation = server.incarnation;
  part.sum = StableHash(body);
  part.attempt_id = request.attempt_id;
  part.service_time = run_time;
  server.first_response = std::min(server.first_response, now_);
  const int other = Chance(server.faults.misdirected_share)
                        ? static_cast<int>(random_() % daemons_.size())
                        : daemon;
  for (part.part = 0; part.part < part.parts; ++part.part) {
    const auto begin = body.begin() + part.part * kMaxPartBytes;
    const auto end =
        body.begin() + std::min(body.size(), (part.part + 1) * kMaxPartBytes);
    part.body.assign(begin, end);
    for (const int to : std::set<int>{daemon, other}) {
      Deliver(server.zone, daemons_[to].zone,
              [this, to, address = server.address, part] {
                CallDaemon(to, [=, this](Dispatcher& d) {
                  d.OnServerMessage(address, part, now_);
                });
              });
    }
  }
}

int Sim::RandomLiveDaemon() {
  std::vector<int> live;
  for (int i = 0; i < options_.daemons; ++i) {
    if (daemons_[i].up && !daemons_[i].leaving) {
      live.push_back(i);
    }
  }
  return live.empty() ? 0 : live[random_() % live.size()];
}

std::string Sim::Send(const std::string& service, bool idempotent, int daemon) {
  SimRequest record;
  constexpr double kWorths[] = {1, 2, 5};
  record.request.id = fmt::format("r{}", ++request_count_);
  record.request.organisation = snapshot_->services.at(service).organisation;
  record.request.service = service;
  record.request.worth = kWorths[random_() % 3];
  record.request.idempotent = idempotent;
  record.request.body = Bytes(100, 1);
  record.service = service;
  record.caller = {0x0b000000 + static_cast<std::uint32_t>(request_count_),
                   5000};
  record.sent = now_;
  record.deadline = now_ + options_.deadline;
  const std::string id = record.request.id;
  callers_[record.caller] = id;
  requests_[id] = std::move(record);
  ++totals_.sent;
  SendCopy(id, daemon);
  if (Chance(options_.duplicate_request_share)) {
    SendCopy(id, RandomLiveDaemon());
  }
  if (options_.repeat_after < options_.deadline) {
    Schedule(options_.repeat_after, [this, id] {
      if (requests_.at(id).end == SimEnd::kOpen) {
        SendCopy(id, RandomLiveDaemon());
      }
    });
  }
  if (Chance(options_.cancel_share)) {
    Schedule(options_.deadline * 0.5 * Uniform(),
             [this, id] { SendCancel(id, RandomLiveDaemon()); });
  }
  return id;
}

void Sim::Repeat(const std::string& id, int daemon) {
  SendCopy(id, daemon);
}

void Sim::SendCopy(const std::string& id, int daemon) {
  const SimRequest& record = requests_.at(id);
  Request request = record.request;
  request.deadline = std::max(record.deadline - now_, absl::ZeroDuration());
  const Endpoint to = snapshot_->services.at(record.service).addresses[0];
  Deliver("", "x", [this, daemon, request, caller = record.caller, to] {
    CallDaemon(daemon, [=, this](Dispatcher& d) {
      d.OnRequest(caller, to, request, now_);
    });
  });
}

void Sim::SendCancel(const std::string& id, int daemon) {
  SimRequest& record = requests_.at(id);
  if (record.end != SimEnd::kOpen) {
    return;
  }
  record.end = SimEnd::kCancelled;
  const Endpoint to = snapshot_->services.at(record.service).addresses[0];
  Deliver("", "x", [this, daemon, id, caller = record.caller, to] {
    CallDaemon(daemon, [=, this](Dispatcher& d) {
      d.OnCancel(caller, to, Cancel{id, ""}, now_);
    });
  });
}

void Sim::OnCaller(Endpoint caller, Endpoint service, const Message& message) {
  SimRequest& record = requests_.at(callers_.at(caller));
  const std::string& id = record.request.id;
  const bool own_service =
      snapshot_->services.at(record.service).addresses[0] == service;
  if (const auto* part = std::get_if<AnswerPart>(&message)) {
    if (part->id != id || !own_service) {
      ++totals_.wrong_answer;
      return;
    }
    record.parts[part->part] = part->body;
    if (record.parts.size() < part->parts || record.end == SimEnd::kDelivered) {
      return;
    }
    Bytes whole;
    for (const auto& [number, body] : record.parts) {
      whole.insert(whole.end(), body.begin(), body.end());
    }
    if (whole != BodyOf(id)) {
      ++totals_.wrong_answer;
    } else if (record.end != SimEnd::kCancelled && now_ <= record.deadline) {
      record.end = SimEnd::kDelivered;
      ++totals_.delivered;
    }
    return;
  }
  const auto* refusal = std::get_if<Refusal>(&message);
  if (refusal == nullptr || refusal->id != id || !own_service) {
    ++totals_.wrong_answer;
    return;
  }
  if (refusal->not_run) {
    record.told_not_run = true;
    RecordViolations(record);
  }
  if (record.end == SimEnd::kOpen) {
    record.end = refusal->not_run ? SimEnd::kRefused : SimEnd::kUnknown;
    ++(refusal->not_run ? totals_.refused : totals_.unknown);
  }
}

void Sim::RecordViolations(SimRequest& request) {
  const std::string& id = request.request.id;
  if (request.runs == 2 && !request.request.idempotent) {
    ++totals_.run_twice;
    totals_.notes.push_back(id + " ran twice");
  }
  if (request.runs > 0 && request.told_not_run) {
    ++totals_.false_not_run;
    totals_.notes.push_back(
        fmt::format("{} ran and was told not run, idempotent {}", id,
                    request.request.idempotent));
  }
}

void Sim::SendNextRequest(const std::string& service,
                          absl::Time end,
                          double rate) {
  if (now_ >= end) {
    return;
  }
  Send(service, Chance(options_.idempotent_share), RandomLiveDaemon());
  Schedule(absl::Seconds(-std::log(1 - Uniform()) / rate),
           [this, service, end, rate] { SendNextRequest(service, end, rate); });
}

void Sim::Run(absl::Duration span, double load) {
  const absl::Time end = now_ + span;
  for (const auto& [name, service] : snapshot_->services) {
    const double rate = load * options_.slots *
                        static_cast<double>(service.servers.size()) /
                        absl::ToDoubleSeconds(options_.service_time);
    if (rate > 0) {
      SendNextRequest(name, end, rate);
    }
  }
  RunWithoutNewRequests(span);
}

void Sim::RunWithoutNewRequests(absl::Duration span) {
  const absl::Time end = now_ + span;
  while (!events_.empty() && events_.top().when <= end) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.when;
    event.action();
  }
  now_ = end;
}

std::vector<std::string> Sim::server_names(const std::string& zone) const {
  std::vector<std::string> names;
  for (const auto& [name, server] : servers_) {
    if (zone.empty() || server.zone == zone) {
      names.push_back(name);
    }
  }
  return names;
}

double Sim::delivered_share(const std::string& organisation) const {
  double offered = 0;
  double delivered = 0;
  for (const auto& [id, record] : requests_) {
    const bool counts = record.request.organisation == organisation &&
                        record.sent >= measured_from_ &&
                        record.end != SimEnd::kCancelled;
    offered += counts ? record.request.worth : 0;
    delivered +=
        counts && record.end == SimEnd::kDelivered ? record.request.worth : 0;
  }
  return offered > 0 ? delivered / offered : 1;
}

double Sim::imbalance() {
  double sum = 0;
  double most = 0;
  int count = 0;
  for (auto& [name, server] : servers_) {
    if (name.starts_with("main")) {
      UpdateBusyTime(server);
      sum += server.busy_seconds;
      most = std::max(most, server.busy_seconds);
      ++count;
    }
  }
  return sum > 0 ? most * count / sum : 1;
}

double Sim::retries_per_first_attempt() const {
  std::uint64_t attempts = 0;
  std::uint64_t retries = 0;
  for (const Daemon& daemon : daemons_) {
    if (daemon.dispatcher != nullptr) {
      const DispatchCounters counters = daemon.dispatcher->status().counters;
      attempts += counters.attempts;
      retries += counters.retries;
    }
  }
  return attempts > retries ? static_cast<double>(retries) /
                                  static_cast<double>(attempts - retries)
                            : 0;
}

}  // namespace gcw::dispatch
