#include "src/soak/caller.h"

#include <fmt/format.h>

#include <utility>

namespace gcw::soak {
namespace {

constexpr int kTries = 3;
constexpr absl::Duration kSecondCopy = absl::Milliseconds(200);
constexpr absl::Duration kThirdCopy = absl::Milliseconds(600);
constexpr absl::Duration kOpenTimeout = absl::Milliseconds(1400);
constexpr absl::Duration kFirstRepeat = absl::Milliseconds(200);
constexpr absl::Duration kBudget = absl::Milliseconds(2500);
constexpr absl::Duration kMeanPause = absl::Milliseconds(80);
constexpr std::uint32_t kFirstSequence = 1000;
constexpr std::uint32_t kAnswerBytes = 40;

}  // namespace

Caller::Caller(lab::Scheduler& scheduler,
               std::uint64_t seed,
               const Endpoint& address,
               const Endpoint& service,
               bool fresh_flows,
               Send send,
               CallerObserver& observer)
    : scheduler_(scheduler),
      random_(seed),
      service_(service),
      fresh_flows_(fresh_flows),
      send_(std::move(send)),
      observer_(observer),
      flow_{address, service},
      next_port_(address.port) {}

void Caller::Start() {
  scheduler_.After(random_.Exponential(kMeanPause), [this] { Begin(); });
}

void Caller::AfterIfCurrent(absl::Duration delay,
                            std::function<void()> action) {
  scheduler_.After(delay, [this, step = step_, action = std::move(action)] {
    if (step == step_) {
      action();
    }
  });
}

void Caller::Begin() {
  if (stopped_) {
    return;
  }
  started_ = scheduler_.now();
  tries_ = 0;
  observer_.OnRequest(started_);
  Try();
}

void Caller::Try() {
  ++step_;
  ++tries_;
  got_first_ = false;
  request_ =
      fmt::format("{}/{}/{}", ToString(flow_.caller), requests_++, step_);
  AfterIfCurrent(kBudget, [this] {
    open_ = false;
    Finish();
  });
  if (open_) {
    SendRequest();
    return;
  }
  flow_.caller.port = next_port_++;
  cookie_ = 0;
  sequence_ = kFirstSequence;
  acknowledged_ = 0;
  state_ = State::kOpening;
  SendSyn(0);
  AfterIfCurrent(kSecondCopy, [this] { SendSyn(1); });
  AfterIfCurrent(kThirdCopy, [this] { SendSyn(2); });
  AfterIfCurrent(kOpenTimeout, [this] {
    if (state_ == State::kOpening) {
      TryAgain();
    }
  });
}

void Caller::SendSyn(std::uint32_t copy) {
  if (state_ != State::kOpening) {
    return;
  }
  adapter::EndHostPacket end;
  end.packet.flow = flow_;
  end.packet.syn = true;
  end.packet.sequence = sequence_;
  end.packet.acknowledged = copy;
  send_(end);
}

void Caller::SendRequest() {
  state_ = State::kWaiting;
  Repeat(kFirstRepeat);
}

// Sends the request, and again after `after`, twice as long each time.
void Caller::Repeat(absl::Duration after) {
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
  AfterIfCurrent(after, [this, after] { Repeat(2 * after); });
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
    if (state_ != State::kIdle) {
      TryAgain();
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
  const std::string of = end.data.substr(0, end.data.size() - 1);
  if (state_ != State::kWaiting || of != request_) {
    // A late copy of an earlier answer of the same caller is none of another.
    if (of.substr(0, of.find(':')) != request_.substr(0, request_.find(':'))) {
      observer_.OnWrongAnswer();
    }
    return;
  }
  if (end.data.back() == '1') {
    got_first_ = true;
    return;
  }
  if (!got_first_) {
    return;  // The request's repetition brings both again.
  }
  sequence_ += static_cast<std::uint32_t>(request_.size());
  acknowledged_ += kAnswerBytes;
  const bool close = fresh_flows_ || end.packet.fin;
  open_ = !close;
  Acknowledge(close);
  observer_.OnAnswered(started_);
  Finish();
}

void Caller::TryAgain() {
  ++step_;
  state_ = State::kIdle;
  if (tries_ >= kTries) {
    Finish();
    return;
  }
  Try();
}

void Caller::Finish() {
  ++step_;
  state_ = State::kIdle;
  AfterIfCurrent(random_.Exponential(kMeanPause), [this] { Begin(); });
}

}  // namespace gcw::soak
