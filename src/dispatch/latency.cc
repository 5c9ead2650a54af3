#include "src/dispatch/latency.h"

#include <algorithm>
#include <boost/histogram.hpp>
#include <utility>

namespace gcw::dispatch {
namespace {

namespace bh = boost::histogram;

constexpr double kMinSeconds = 1e-4;
constexpr double kMaxSeconds = 100;
constexpr unsigned kBins = 180;  // Each bin is 8 % wide.

using Axis = bh::axis::regular<double, bh::axis::transform::log>;

auto MakeHistogram() {
  return bh::make_histogram(Axis(kBins, kMinSeconds, kMaxSeconds));
}

}  // namespace

struct LatencyHistogram::Impl {
  decltype(MakeHistogram()) histogram = MakeHistogram();
  std::uint64_t count = 0;

  absl::Duration Quantile(double quantile) const {
    const double target_count = quantile * static_cast<double>(count);
    double sum = 0;
    for (const auto& bin : bh::indexed(histogram, bh::coverage::all)) {
      sum += *bin;
      if (sum >= target_count) {
        return absl::Seconds(std::min(bin.bin().upper(), kMaxSeconds));
      }
    }
    return absl::Seconds(kMaxSeconds);
  }
};

LatencyHistogram::LatencyHistogram() : impl_(std::make_unique<Impl>()) {}
LatencyHistogram::~LatencyHistogram() = default;
LatencyHistogram::LatencyHistogram(LatencyHistogram&&) noexcept = default;
LatencyHistogram& LatencyHistogram::operator=(LatencyHistogram&&) noexcept =
    default;

void LatencyHistogram::Add(absl::Duration latency) {
  impl_->histogram(absl::ToDoubleSeconds(latency));
  ++impl_->count;
}

LatencySummary LatencyHistogram::summary() const {
  LatencySummary summary;
  summary.count = impl_->count;
  if (summary.count > 0) {
    summary.p50 = impl_->Quantile(0.5);
    summary.p99 = impl_->Quantile(0.99);
    summary.p999 = impl_->Quantile(0.999);
  }
  return summary;
}

}  // namespace gcw::dispatch
