#include "src/direct/admission_controller.h"

#include <array>
#include <catch2/catch.hpp>
#include <cstdint>
#include <deque>
#include <queue>
#include <random>
#include <vector>

namespace gcw::direct {
namespace {

constexpr std::uint32_t kImportant = 1;
constexpr std::uint32_t kLessImportant = 2;
constexpr absl::Duration kTarget = absl::Milliseconds(200);

// Requests of one priority: how many arrived, and how many were answered within
// the target latency.
struct RequestCounts {
  int offered = 0;
  int in_time = 0;
};

// Simulates a service that processes up to `slots` requests at the same time
// and queues further requests. It refuses requests that arrive while the queue
// is full.
class OverloadedService {
 public:
  OverloadedService(int slots, bool limited)
      : slots_(slots), admission_enabled_(limited) {}

  // Simulates one second with `rate` requests per second, a fifth of them with
  // priority kImportant.
  void RunSecond(double rate) {
    const absl::Time end = now_ + absl::Seconds(1);
    while (now_ < end) {
      now_ += absl::Milliseconds(1);
      Finish();
      for (int i = Arrivals(rate / 1000); i > 0; --i) {
        Arrive(random_() % 5 == 0 ? kImportant : kLessImportant);
      }
      Start();
      if (now_ >= next_tick_) {
        next_tick_ = now_ + absl::Milliseconds(50);
        const double requests =
            static_cast<double>(queue_.size() + running_.size());
        admission_.OnTick(requests / slots_, now_);
      }
    }
  }

  void ResetCounts() { counts_ = {}; }
  const RequestCounts& counts(std::uint32_t priority) const {
    return counts_[priority];
  }
  double admitted_share() const { return admission_.admitted_share(); }

 private:
  struct Request {
    std::uint32_t priority;
    absl::Time arrived;
  };
  struct Running {
    absl::Time end;
    Request request;
    bool operator<(const Running& other) const { return end > other.end; }
  };

  int Arrivals(double mean) {
    return std::poisson_distribution<int>(mean)(random_);
  }

  void Arrive(std::uint32_t priority) {
    ++counts_[priority].offered;
    if (admission_enabled_ && !admission_.Admit(priority)) {
      return;
    }
    if (queue_.size() < 6 * static_cast<std::size_t>(slots_)) {
      queue_.push_back({priority, now_});
    }
  }

  void Start() {
    std::uniform_int_distribution<int> work(20, 60);
    while (!queue_.empty() &&
           running_.size() < static_cast<std::size_t>(slots_)) {
      running_.push({now_ + absl::Milliseconds(work(random_)), queue_.front()});
      queue_.pop_front();
    }
  }

  void Finish() {
    while (!running_.empty() && running_.top().end <= now_) {
      const Request request = running_.top().request;
      running_.pop();
      const absl::Duration latency = now_ - request.arrived;
      admission_.OnAnswer(latency, kTarget);
      counts_[request.priority].in_time += latency <= kTarget ? 1 : 0;
    }
  }

  const int slots_;
  const bool admission_enabled_;
  AdmissionController admission_{7};
  std::mt19937_64 random_{11};
  absl::Time now_ = absl::UnixEpoch() + absl::Hours(1);
  absl::Time next_tick_ = now_;
  std::deque<Request> queue_;
  std::priority_queue<Running> running_;
  std::array<RequestCounts, 3> counts_{};
};

constexpr int kSlots = 40;
// Requests per second that the service can process: 40 at the same time
// (kSlots), at 40 ms per request.
constexpr double kCapacity = 1000;

double InTimeRatio(const RequestCounts& counts) {
  return static_cast<double>(counts.in_time) / counts.offered;
}

TEST_CASE("below capacity no flow is refused") {
  for (const double load : {0.3, 0.6, 0.8}) {
    CAPTURE(load);
    OverloadedService service(kSlots, true);
    for (int second = 0; second < 10; ++second) {
      service.RunSecond(load * kCapacity);
      CHECK(service.admitted_share() == 1);
    }
  }
}

// Without admission control, an overloaded service fills its queue, so that
// almost every answer misses the target latency.
TEST_CASE("in a burst most of the capacity yields answers in time") {
  for (const double load : {1.5, 2.0, 4.0}) {
    CAPTURE(load);
    OverloadedService limited(kSlots, true);
    OverloadedService unlimited(kSlots, false);
    for (OverloadedService* service : {&limited, &unlimited}) {
      service->RunSecond(load * kCapacity);
      service->ResetCounts();
      for (int second = 0; second < 5; ++second) {
        service->RunSecond(load * kCapacity);
      }
    }
    const int in_time = limited.counts(kImportant).in_time +
                        limited.counts(kLessImportant).in_time;
    CHECK(in_time >= 0.75 * 5 * kCapacity);
    const int in_time_open = unlimited.counts(kImportant).in_time +
                             unlimited.counts(kLessImportant).in_time;
    CHECK(in_time_open < 0.5 * in_time);
  }
}

TEST_CASE("flows of the least important priority are refused first") {
  OverloadedService service(kSlots, true);
  service.RunSecond(3 * kCapacity);
  service.ResetCounts();
  for (int second = 0; second < 5; ++second) {
    service.RunSecond(3 * kCapacity);
  }
  // Important requests take 600 of the 1000 requests per second that the
  // service can serve.
  CHECK(InTimeRatio(service.counts(kImportant)) > 0.9);
  CHECK(InTimeRatio(service.counts(kLessImportant)) < 0.3);
}

TEST_CASE("all flows are admitted again soon after a burst") {
  OverloadedService service(kSlots, true);
  for (int second = 0; second < 3; ++second) {
    service.RunSecond(4 * kCapacity);
  }
  CHECK(service.admitted_share() < 0.5);
  service.RunSecond(0.5 * kCapacity);
  service.RunSecond(0.5 * kCapacity);
  service.ResetCounts();
  service.RunSecond(0.5 * kCapacity);
  CHECK(service.admitted_share() == 1);
}

// An AdmissionController whose service answers ten requests with the same
// latency before each tick.
class SteadyAnswers {
 public:
  // Runs a tick of the controller after ten answers with `latency`.
  void Tick(absl::Duration latency, double requests_per_slot) {
    for (int i = 0; i < 10; ++i) {
      admission_.OnAnswer(latency, kTarget);
    }
    TickWithoutAnswers(requests_per_slot);
  }
  // Runs a tick of the controller without new answers.
  void TickWithoutAnswers(double requests_per_slot) {
    now_ += absl::Milliseconds(50);
    admission_.OnTick(requests_per_slot, now_);
  }
  double admitted_share() const { return admission_.admitted_share(); }

 private:
  AdmissionController admission_{1};
  absl::Time now_ = absl::UnixEpoch() + absl::Hours(1);
};

// Long latencies alone are no overload: refusing flows would not make slow
// servers faster.
TEST_CASE("slow servers without a queue cause no refusals") {
  SteadyAnswers service;
  for (int tick = 0; tick < 100; ++tick) {
    service.Tick(2 * kTarget, 0.9);
    CHECK(service.admitted_share() == 1);
  }
}

// Requests to lost servers stay unanswered and look like queued requests, while
// the other servers answer in time.
TEST_CASE("requests to lost servers cause no refusals") {
  SteadyAnswers service;
  for (int tick = 0; tick < 100; ++tick) {
    service.Tick(0.25 * kTarget, 8);
    CHECK(service.admitted_share() == 1);
  }
}

// Without requests there are no answers, so that only idle slots can show the
// end of an overload.
TEST_CASE("a service without requests admits all flows again") {
  SteadyAnswers service;
  for (int tick = 0; tick < 100; ++tick) {
    service.Tick(2 * kTarget, 5);
  }
  CHECK(service.admitted_share() < 0.1);
  for (int tick = 0; tick < 400; ++tick) {
    service.TickWithoutAnswers(0);
  }
  CHECK(service.admitted_share() == 1);
}

}  // namespace
}  // namespace gcw::direct
