#include "src/direct/usual_latency.h"

#include <algorithm>

namespace gcw::direct {
namespace {

// Time constant of the mean. Longer than a server is slow by chance, and short
// enough to follow a load that changes within a minute.
constexpr absl::Duration kMeanTime = absl::Seconds(10);
// Largest weight of one answer on a route with few answers.
constexpr double kMaxWeight = 0.05;
// An answer counts with at most this many times the mean: one hung server among
// forty then raises the mean by 5 % at most.
constexpr double kClip = 3;
// Answers until the mean is used.
constexpr std::uint32_t kMinAnswers = 8;
// Latencies below this are below what a network path between hosts takes.
constexpr double kMinSeconds = 1e-5;
constexpr absl::Duration kRetention = absl::Seconds(60);

}  // namespace

std::optional<absl::Duration> UsualLatency::OnAnswer(const Endpoint& route,
                                                     absl::Duration latency,
                                                     absl::Time now) {
  Mean& mean = means_[route];
  const double seconds = std::max(absl::ToDoubleSeconds(latency), kMinSeconds);
  std::optional<absl::Duration> usual;
  if (mean.answers >= kMinAnswers) {
    usual = absl::Seconds(mean.seconds);
  }
  if (mean.answers == 0) {
    mean.seconds = seconds;
  } else {
    // The plain mean of all answers until these are many.
    const double weight =
        std::max(1.0 / (mean.answers + 1),
                 std::min(kMaxWeight,
                          absl::FDivDuration(now - mean.updated, kMeanTime)));
    mean.seconds +=
        weight * (std::min(seconds, kClip * mean.seconds) - mean.seconds);
  }
  ++mean.answers;
  mean.updated = now;
  return usual;
}

void UsualLatency::Expire(absl::Time now) {
  absl::erase_if(means_, [&](const auto& item) {
    return now - item.second.updated >= kRetention;
  });
}

}  // namespace gcw::direct
