#include "src/lab/request_callers.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "gcw/base/hash.h"
#include "gcw/base/result_code.h"
#include "src/lab/fabric.h"
#include "src/lab/messages.h"

namespace gcw::lab {
namespace {

// A caller waits until this long after a request's deadline; then the request
// ends as refused, unknown or unanswered.
constexpr absl::Duration kGiveUpDelay = absl::Milliseconds(500);
constexpr std::uint32_t kCallerHostCount = 1 << 20;
constexpr std::uint32_t kPortCount = 60000;
constexpr std::uint16_t kFirstPort = 1024;
constexpr std::size_t kRequestBytes = 120;
constexpr double kWorthValues[] = {1, 2, 5};

struct Request {
  std::string id;
  ServiceIndex service = 0;
  ZoneIndex zone = 0;
  RequestInfo info;
  absl::Time deadline;
  std::optional<DaemonIndex> daemon;
  std::size_t window = 0;  // Window of the load meter.
  int copies_sent = 0;
  int refusals_received = 0;
  bool outcome_unknown = false;          // As a refusal said.
  std::map<std::uint32_t, Bytes> parts;  // Answer parts by number.
};

}  // namespace

class RequestCallers::Impl {
 public:
  Impl(Scheduler& scheduler,
       const World& world,
       RequestLedger& ledger,
       LoadMeter& meter,
       const LoadSettings& load,
       std::uint64_t seed,
       Send send)
      : scheduler_(scheduler),
        world_(world),
        ledger_(ledger),
        meter_(meter),
        load_(load),
        seed_(seed),
        random_(seed),
        send_(std::move(send)) {
    for (const ServiceInfo& service : world.topology().services) {
      const double rate = service.slots_at_full_load * load.request_load /
                          absl::ToDoubleSeconds(service.mean_service_time);
      rates_.push_back(rate);
    }
  }

  void SendNext(ServiceIndex service) {
    if (scheduler_.now() >= end_ || rates_[service] <= 0) {
      return;
    }
    SendOne(service, random_.Below(world_.topology().zones.size()),
            random_.Chance(load_.idempotent_share));
    next_[service] += absl::Seconds(random_.Exponential(1 / rates_[service]));
    scheduler_.At(next_[service], [this, service] { SendNext(service); });
  }

  std::string SendOne(ServiceIndex service, ZoneIndex zone, bool idempotent) {
    const ServiceInfo& info = world_.topology().services[service];
    Request request;
    request.id = fmt::format("{}-{:x}-{}", info.name, seed_ & 0xffff, ++count_);
    request.service = service;
    request.zone = zone;
    request.info = {service,
                    kWorthValues[random_.Below(std::size(kWorthValues))],
                    idempotent, load_.deadline};
    request.deadline = scheduler_.now() + load_.deadline;
    Endpoint caller;
    do {
      caller.ip = Fabric::CallerNetwork(zone) |
                  static_cast<std::uint32_t>(random_.Below(kCallerHostCount));
      caller.port =
          static_cast<std::uint16_t>(kFirstPort + random_.Below(kPortCount));
    } while (requests_.contains(caller));
    std::string id = request.id;
    requests_.emplace(caller, std::move(request));
    requests_[caller].window = meter_.Offered(
        service, requests_[caller].info.worth, info.mean_service_time);
    SendCopy(caller);
    if (random_.Chance(load_.double_share)) {
      SendCopy(caller);
    }
    ArmTimers(caller);
    return id;
  }

  void ArmTimers(const Endpoint& caller) {
    if (load_.repeat_after < load_.deadline) {
      scheduler_.After(load_.repeat_after, [this, caller] { Repeat(caller); });
    }
    if (random_.Chance(load_.cancel_share)) {
      scheduler_.After(load_.deadline * 0.5 * random_.Uniform(),
                       [this, caller] { Cancel(caller); });
    }
    scheduler_.After(load_.deadline + kGiveUpDelay,
                     [this, caller] { GiveUp(caller); });
  }

  void SendCopy(const Endpoint& caller) {
    Request& request = requests_[caller];
    const ServiceInfo& service = world_.topology().services[request.service];
    RequestMessage message;
    message.id = request.id;
    message.organisation = service.organisation;
    message.service = service.name;
    message.deadline_ms =
        absl::ToInt64Milliseconds(request.deadline - scheduler_.now());
    message.worth = request.info.worth;
    message.idempotent = request.info.idempotent;
    message.body = Bytes(kRequestBytes, 0x2a);
    message.expected_bytes = service.answer_bytes;
    ++request.copies_sent;
    request.daemon = SendMessage(caller, request, message);
    ledger_.Sent(request.id, request.info, request.daemon);
  }

  std::optional<DaemonIndex> SendMessage(const Endpoint& caller,
                                         const Request& request,
                                         const Message& message) {
    const Bytes payload = Encode(message);
    InnerPacket packet;
    packet.is_tcp = false;
    packet.source = caller;
    packet.destination = world_.topology().services[request.service].address;
    packet.payload = payload;
    return send_(request.zone, EncodePacket(packet), request.daemon);
  }

  void Repeat(const Endpoint& caller) {
    if (requests_.contains(caller)) {
      SendCopy(caller);
    }
  }

  void Cancel(const Endpoint& caller) {
    const auto found = requests_.find(caller);
    if (found == requests_.end()) {
      return;
    }
    SendMessage(caller, found->second, CancelMessage{found->second.id, ""});
    End(caller, RequestOutcome::kCancelled);
  }

  void GiveUp(const Endpoint& caller) {
    const auto found = requests_.find(caller);
    if (found == requests_.end()) {
      return;
    }
    RequestOutcome outcome = RequestOutcome::kUnanswered;
    if (found->second.outcome_unknown) {
      outcome = RequestOutcome::kUnknown;
    } else if (found->second.refusals_received == found->second.copies_sent) {
      outcome = RequestOutcome::kRefused;
    }
    End(caller, outcome);
  }

  void End(const Endpoint& caller, RequestOutcome outcome) {
    const auto found = requests_.find(caller);
    ledger_.Ended(found->second.id, outcome);
    requests_.erase(found);
  }

  void OnPacket(const InnerPacket& packet) {
    const auto found = requests_.find(packet.destination);
    if (found == requests_.end()) {
      return;  // A late or duplicate answer: the request has ended.
    }
    const auto message = Decode(packet.payload);
    if (!message) {
      ledger_.WrongAnswer(found->second.id +
                          " got a packet that cannot be decoded");
      return;
    }
    if (const auto* answer = std::get_if<AnswerMessage>(&*message)) {
      OnAnswer(packet, found->second, *answer);
    } else if (const auto* refusal = std::get_if<RefusalMessage>(&*message)) {
      OnRefusal(packet.destination, found->second, *refusal);
    }
  }

  void OnAnswer(const InnerPacket& packet,
                Request& request,
                const AnswerMessage& answer) {
    const ServiceInfo& service = world_.topology().services[request.service];
    if (answer.id != request.id || answer.service != service.name ||
        packet.source != service.address) {
      ledger_.WrongAnswer(fmt::format("{} got the answer of {} from {}",
                                      request.id, answer.id,
                                      ToString(packet.source)));
      return;
    }
    request.parts[answer.part] = answer.body;
    if (request.parts.size() < answer.parts) {
      return;
    }
    Bytes body;
    for (const auto& [part, bytes] : request.parts) {
      body.insert(body.end(), bytes.begin(), bytes.end());
    }
    const Bytes expected = AnswerBody(request.id, service.answer_bytes);
    if (body != expected ||
        answer.checksum != StableHash(std::span<const std::uint8_t>(body))) {
      ledger_.WrongAnswer(request.id + " got an answer with a wrong body");
      End(packet.destination, RequestOutcome::kUnknown);
      return;
    }
    const bool in_time = scheduler_.now() <= request.deadline;
    if (in_time) {
      meter_.Delivered(request.service, request.info.worth,
                       scheduler_.now() + load_.deadline - request.deadline,
                       request.window);
    }
    End(packet.destination,
        in_time ? RequestOutcome::kDelivered : RequestOutcome::kLate);
  }

  void OnRefusal(const Endpoint& caller,
                 Request& request,
                 const RefusalMessage& refusal) {
    if (refusal.id != request.id) {
      ledger_.WrongAnswer(
          fmt::format("{} got the refusal of {}", request.id, refusal.id));
      return;
    }
    ++request.refusals_received;
    if (refusal.not_run) {
      ledger_.ToldNotRun(request.id);
    } else {
      request.outcome_unknown = true;
    }
    if (request.refusals_received >= request.copies_sent) {
      End(caller, request.outcome_unknown ? RequestOutcome::kUnknown
                                          : RequestOutcome::kRefused);
    }
  }

  Scheduler& scheduler_;
  const World& world_;
  RequestLedger& ledger_;
  LoadMeter& meter_;
  LoadSettings load_;
  std::uint64_t seed_;
  Random random_;
  Send send_;
  absl::Time end_;
  std::uint64_t count_ = 0;
  std::vector<double> rates_;  // Requests per second, by service.
  std::map<ServiceIndex, absl::Time> next_;
  absl::flat_hash_map<Endpoint, Request> requests_;
};

RequestCallers::RequestCallers(Scheduler& scheduler,
                               const World& world,
                               RequestLedger& ledger,
                               LoadMeter& meter,
                               const LoadSettings& load,
                               std::uint64_t seed,
                               Send send)
    : impl_(std::make_unique<Impl>(scheduler,
                                   world,
                                   ledger,
                                   meter,
                                   load,
                                   seed,
                                   std::move(send))) {}
RequestCallers::~RequestCallers() = default;

void RequestCallers::Start(absl::Time end) {
  impl_->end_ = end;
  for (ServiceIndex i = 0; i < impl_->rates_.size(); ++i) {
    impl_->next_[i] = impl_->scheduler_.now();
    impl_->SendNext(i);
  }
}

std::string RequestCallers::SendOne(ServiceIndex service,
                                    ZoneIndex zone,
                                    bool idempotent) {
  return impl_->SendOne(service, zone, idempotent);
}

void RequestCallers::OnPacket(const InnerPacket& packet) {
  impl_->OnPacket(packet);
}

std::size_t RequestCallers::pending() const {
  return impl_->requests_.size();
}

}  // namespace gcw::lab
