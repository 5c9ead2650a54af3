#include "src/soak/caller.h"

#include <fmt/format.h>

#include <utility>

#include "src/soak/server.h"

namespace gcw::soak {
namespace {

constexpr int kMaxAttempts = 3;
// Retransmissions of a SYN, after the start of the attempt.
constexpr absl::Duration kFirstSynRetransmit = absl::Milliseconds(200);
constexpr absl::Duration kSecondSynRetransmit = absl::Milliseconds(600);
// An attempt whose flow is not open after this time is retried on a new flow.
constexpr absl::Duration kOpenTimeout = absl::Milliseconds(1400);
constexpr absl::Duration kFirstRetransmitDelay = absl::Milliseconds(200);
// An attempt that has no answer after this time ends the request without an
// answer, and the next request uses a new flow.
constexpr absl::Duration kAttemptTimeout = absl::Milliseconds(2500);
// Mean time between the end of a request and the start of the next.
constexpr absl::Duration kMeanPause = absl::Milliseconds(80);
// Shortest pause on an idle flow, and by how much more others last. Daemons
// forget a flow after 15 s without a packet.
constexpr absl::Duration kMinIdlePause = absl::Seconds(6);
constexpr absl::Duration kIdlePauseSpread = absl::Seconds(6);
constexpr std::uint32_t kFirstSequence = 1000;
// By how much the acknowledged sequence number grows with each answer.
constexpr std::uint32_t kAnswerBytes = 40;

}  // namespace

Caller::Caller(lab::Scheduler& scheduler,
               std::uint64_t seed,
               const Endpoint& address,
               std::uint16_t ports,
               const Endpoint& service,
               FlowUse flow_use,
               Send send,
               CallerObserver& observer)
    : scheduler_(scheduler),
      random_(seed),
      service_(service),
      flow_use_(flow_use),
      send_(std::move(send)),
      observer_(observer),
      flow_{address, service},
      first_port_(address.port),
      ports_(ports) {}

void Caller::Start() {
  stopped_ = false;
  if (state_ == State::kIdle) {
    ++attempt_generation_;
    AfterIfCurrent(random_.Exponential(kMeanPause), [this] { StartRequest(); });
  }
}

absl::Duration Caller::DrawPause() {
  return flow_use_ == FlowUse::kIdle
             ? kMinIdlePause + random_.Uniform() * kIdlePauseSpread
             : random_.Exponential(kMeanPause);
}

void Caller::AfterIfCurrent(absl::Duration delay,
                            std::function<void()> action) {
  scheduler_.After(delay, [this, generation = attempt_generation_,
                           action = std::move(action)] {
    if (generation == attempt_generation_) {
      action();
    }
  });
}

void Caller::StartRequest() {
  if (stopped_) {
    return;
  }
  started_ = scheduler_.now();
  attempts_ = 0;
  observer_.OnRequest(started_);
  StartAttempt();
}

void Caller::StartAttempt() {
  ++attempt_generation_;
  ++attempts_;
  first_part_received_ = false;
  if (!open_) {
    flow_.caller.port =
        static_cast<std::uint16_t>(first_port_ + flow_count_++ % ports_);
    flow_requests_.clear();
  }
  request_ = fmt::format("{}/{}/{}", ToString(flow_.caller), request_count_++,
                         attempt_generation_);
  flow_requests_.insert(request_);
  AfterIfCurrent(kAttemptTimeout, [this] {
    open_ = false;
    FinishRequest(false);
  });
  if (open_) {
    SendRequest();
    return;
  }
  cookie_ = 0;
  sequence_ = kFirstSequence;
  acknowledged_ = 0;
  state_ = State::kOpening;
  SendSyn(0);
  AfterIfCurrent(kFirstSynRetransmit, [this] { SendSyn(1); });
  AfterIfCurrent(kSecondSynRetransmit, [this] { SendSyn(2); });
  AfterIfCurrent(kOpenTimeout, [this] {
    if (state_ == State::kOpening) {
      RetryOrFinish();
    }
  });
}

void Caller::SendSyn(std::uint32_t copy_number) {
  if (state_ != State::kOpening) {
    return;
  }
  adapter::EndHostPacket end;
  end.packet.flow = flow_;
  end.packet.syn = true;
  end.packet.sequence = sequence_;
  end.packet.acknowledged = copy_number;
  send_(end);
}

void Caller::SendRequest() {
  state_ = State::kWaiting;
  SendWithRetransmits(kFirstRetransmitDelay);
}

void Caller::SendWithRetransmits(absl::Duration retransmit_delay) {
  if (state_ != State::kWaiting) {
    return;
  }
  adapter::EndHostPacket end;
  end.packet.flow = flow_;
  end.packet.sequence = sequence_ + 1;
  end.packet.acknowledged = acknowledged_;
  end.packet.cookie = cookie_;
  end.ack = true;
  end.data = request_;
  send_(end);
  AfterIfCurrent(retransmit_delay, [this, retransmit_delay] {
    SendWithRetransmits(2 * retransmit_delay);
  });
}

void Caller::Acknowledge(bool fin) {
  adapter::EndHostPacket end;
  end.packet.flow = flow_;
  end.packet.sequence = sequence_ + 1;
  end.packet.acknowledged = acknowledged_;
  end.packet.cookie = cookie_;
  end.packet.fin = fin;
  end.ack = true;
  send_(end);
}

void Caller::OnPacket(const adapter::EndHostPacket& end) {
  if (end.packet.flow != flow_) {
    return;
  }
  if (end.packet.cookie != 0) {
    cookie_ = end.packet.cookie;
  }
  if (end.packet.rst) {
    open_ = false;
    if (state_ == State::kOpening) {
      observer_.OnRefused(flow_);
    }
    if (state_ != State::kIdle) {
      RetryOrFinish();
    }
    return;
  }
  if (end.packet.syn && state_ == State::kOpening) {
    open_ = true;
    acknowledged_ = end.packet.sequence + 1;
    SendRequest();
    return;
  }
  if (!end.data.empty()) {
    OnAnswer(end);
  }
}

void Caller::OnAnswer(const adapter::EndHostPacket& end) {
  const std::string answered_request = end.data.substr(0, end.data.size() - 1);
  if (state_ != State::kWaiting || answered_request != request_) {
    // A late copy of an answer to an earlier request on the same flow is no
    // fault.
    if (!flow_requests_.contains(answered_request)) {
      observer_.OnWrongAnswer();
    }
    return;
  }
  if (end.data.back() == Server::kRejectedPart) {
    open_ = false;
    Acknowledge(true);
    RetryOrFinish();
    return;
  }
  if (end.data.back() == '1') {
    first_part_received_ = true;
    return;
  }
  if (!first_part_received_) {
    return;  // The first part was lost; a retransmitted request brings both.
  }
  sequence_ += static_cast<std::uint32_t>(request_.size());
  acknowledged_ += kAnswerBytes;
  const bool close = flow_use_ == FlowUse::kOneRequest || end.packet.fin;
  open_ = !close;
  Acknowledge(close);
  FinishRequest(true);
}

void Caller::RetryOrFinish() {
  ++attempt_generation_;
  state_ = State::kIdle;
  if (attempts_ >= kMaxAttempts) {
    FinishRequest(false);
    return;
  }
  StartAttempt();
}

void Caller::FinishRequest(bool answered) {
  observer_.OnFinished(flow_, started_, answered);
  ++attempt_generation_;
  state_ = State::kIdle;
  AfterIfCurrent(DrawPause(), [this] { StartRequest(); });
}

}  // namespace gcw::soak
