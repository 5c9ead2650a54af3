#ifndef SRC_LAB_RANDOM_H_
#define SRC_LAB_RANDOM_H_

#include <cstdint>
#include <random>

#include "absl/time/time.h"

namespace gcw::lab {

// A seeded pseudo-random generator: the same seed gives the same values. Not
// thread-safe.
class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}

  // Uniform in [0, 1).
  double Uniform() { return static_cast<double>(engine_() >> 11) * 0x1.0p-53; }
  // True with `probability`, from 0 to 1.
  bool Chance(double probability) { return Uniform() < probability; }
  // A number from 0 to `limit` - 1. Precondition: `limit` > 0.
  std::uint64_t Below(std::uint64_t limit) { return engine_() % limit; }
  // Exponentially distributed. Precondition: `mean` > 0.
  double Exponential(double mean) {
    return std::exponential_distribution<double>(1.0 / mean)(engine_);
  }
  absl::Duration Exponential(absl::Duration mean) {
    return absl::Seconds(Exponential(absl::ToDoubleSeconds(mean)));
  }

 private:
  std::mt19937_64 engine_;
};

}  // namespace gcw::lab

#endif  // SRC_LAB_RANDOM_H_
