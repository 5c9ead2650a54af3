#include "src/fake_platform/fault_injector.h"

#include <algorithm>

namespace gcw::fake_platform {

FaultInjector::FaultInjector(const RateLimits& limits, std::uint64_t seed)
    : random_(seed) {
  reads_.rate = limits.reads_per_second;
  writes_.rate = limits.writes_per_second;
}

FaultDecision FaultInjector::Decide(CallKind kind,
                                    std::uint32_t client_ip,
                                    absl::Time now) {
  FaultDecision decision;
  if (outage_ == Outage::kSilent || IsPartitioned(client_ip)) {
    decision.kind = FaultDecision::Kind::kNoAnswer;
    return decision;
  }
  if (outage_ == Outage::kRefusing) {
    decision.kind = FaultDecision::Kind::kUnavailable;
    return decision;
  }
  TokenBucket& bucket = IsWrite(kind) ? writes_ : reads_;
  if (!bucket.Take(now)) {
    decision.kind = FaultDecision::Kind::kRateLimited;
    return decision;
  }
  decision.delay = DrawDelay();
  decision.lose_answer = IsWrite(kind) && DrawEvent(lost_answers_);
  if (IsWrite(kind) && late_writes_ > 0 && DrawEvent(late_writes_)) {
    decision.late_by = DrawLateness();
  }
  decision.answer_stale = (kind == CallKind::kList || kind == CallKind::kGet) &&
                          DrawEvent(stale_reads_);
  return decision;
}

void FaultInjector::SetPartitioned(std::uint32_t client_ip, bool partitioned) {
  if (partitioned) {
    partitioned_.insert(client_ip);
  } else {
    partitioned_.erase(client_ip);
  }
}

bool FaultInjector::IsPartitioned(std::uint32_t client_ip) const {
  return partitioned_.contains(client_ip);
}

// The bucket is filled up to the calls of one second, but always has room for
// one token.
bool FaultInjector::TokenBucket::Take(absl::Time now) {
  if (filled_at == absl::InfinitePast()) {
    tokens = rate;
  } else {
    tokens += rate * absl::ToDoubleSeconds(now - filled_at);
  }
  tokens = std::min(tokens, std::max(rate, 1.0));
  filled_at = now;
  if (tokens < 1) {
    return false;
  }
  tokens -= 1;
  return true;
}

bool FaultInjector::DrawEvent(double probability) {
  return std::bernoulli_distribution(probability)(random_);
}

absl::Duration FaultInjector::DrawLateness() {
  return std::uniform_real_distribution<double>(1.0, 6.0)(random_) *
         absl::Seconds(1);
}

absl::Duration FaultInjector::DrawDelay() {
  if (delay_.mean_extra <= absl::ZeroDuration()) {
    return delay_.base;
  }
  std::exponential_distribution<double> extra(1.0);
  return delay_.base + delay_.mean_extra * extra(random_);
}

}  // namespace gcw::fake_platform
