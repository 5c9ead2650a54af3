#include "src/direct/admission.h"

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
constexpr std::uint32_t kOther = 2;
constexpr absl::Duration kTarget = absl::Milliseconds(200);

// What became of the requests of one priority.
struct Served {
  int offered = 0;
  int in_time = 0;
};

// One service of equal slots behind one queue, as a server's own: requests
// beyond the queue are turned away by the server after they came.
class OverloadedService {
 public:
  OverloadedService(int slots, bool gated) : slots_(slots), gated_(gated) {}

  // Plays a second at `rate` requests a second, a fifth of them important.
  void PlaySecond(double rate) {
    const absl::Time end = now_ + absl::Seconds(1);
    while (now_ < end) {
      now_ += absl::Milliseconds(1);
      Finish();
      for (int i = Arrivals(rate / 1000); i > 0; --i) {
        Arrive(random_() % 5 == 0 ? kImportant : kOther);
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

  void Forget() { served_ = {}; }
  const Served& served(std::uint32_t priority) const {
    return served_[priority];
  }
  double share() const { return admission_.share(); }

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
    ++served_[priority].offered;
    if (gated_ && !admission_.Admit(priority)) {
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
      const absl::Duration waited = now_ - request.arrived;
      admission_.OnAnswer(waited, kTarget);
      served_[request.priority].in_time += waited <= kTarget ? 1 : 0;
    }
  }

  const int slots_;
  const bool gated_;
  Admission admission_{7};
  std::mt19937_64 random_{11};
  absl::Time now_ = absl::UnixEpoch() + absl::Hours(1);
  absl::Time next_tick_ = now_;
  std::deque<Request> queue_;
  std::priority_queue<Running> running_;
  std::array<Served, 3> served_{};
};

constexpr int kSlots = 40;
// What 40 slots bear at 40 ms a request.
constexpr double kBorne = 1000;

double PartInTime(const Served& served) {
  return static_cast<double>(served.in_time) / served.offered;
}

TEST_CASE("at the usual load nobody is turned away") {
  for (const double load : {0.3, 0.6, 0.8}) {
    CAPTURE(load);
    OverloadedService service(kSlots, true);
    for (int second = 0; second < 10; ++second) {
      service.PlaySecond(load * kBorne);
      CHECK(service.share() == 1);
    }
  }
}

TEST_CASE("in a burst what servers bear is answered in time") {
  for (const double load : {1.5, 2.0, 4.0}) {
    CAPTURE(load);
    OverloadedService gated(kSlots, true);
    OverloadedService open(kSlots, false);
    for (OverloadedService* service : {&gated, &open}) {
      service->PlaySecond(load * kBorne);
      service->Forget();
      for (int second = 0; second < 5; ++second) {
        service->PlaySecond(load * kBorne);
      }
    }
    const int in_time =
        gated.served(kImportant).in_time + gated.served(kOther).in_time;
    CHECK(in_time >= 0.75 * 5 * kBorne);
    const int in_time_open =
        open.served(kImportant).in_time + open.served(kOther).in_time;
    CHECK(in_time_open < 0.5 * in_time);
  }
}

TEST_CASE("the least important give way first") {
  OverloadedService service(kSlots, true);
  service.PlaySecond(3 * kBorne);
  service.Forget();
  for (int second = 0; second < 5; ++second) {
    service.PlaySecond(3 * kBorne);
  }
  // The important are 600 a second of the 1000 that are borne.
  CHECK(PartInTime(service.served(kImportant)) > 0.9);
  CHECK(PartInTime(service.served(kOther)) < 0.3);
}

TEST_CASE("all are let in again soon after a burst") {
  OverloadedService service(kSlots, true);
  for (int second = 0; second < 3; ++second) {
    service.PlaySecond(4 * kBorne);
  }
  CHECK(service.share() < 0.5);
  service.PlaySecond(0.5 * kBorne);
  service.PlaySecond(0.5 * kBorne);
  service.Forget();
  service.PlaySecond(0.5 * kBorne);
  CHECK(service.share() == 1);
}

// An admission whose service answers ten requests before each tick.
class SteadyAnswers {
 public:
  // One tick after answers that took `waited`.
  void Tick(absl::Duration waited, double requests_per_slot) {
    for (int i = 0; i < 10; ++i) {
      admission_.OnAnswer(waited, kTarget);
    }
    QuietTick(requests_per_slot);
  }
  // One without answers.
  void QuietTick(double requests_per_slot) {
    now_ += absl::Milliseconds(50);
    admission_.OnTick(requests_per_slot, now_);
  }
  double share() const { return admission_.share(); }

 private:
  Admission admission_{1};
  absl::Time now_ = absl::UnixEpoch() + absl::Hours(1);
};

TEST_CASE("slow servers without a queue turn nobody away") {
  SteadyAnswers service;
  for (int tick = 0; tick < 100; ++tick) {
    service.Tick(2 * kTarget, 0.9);
    CHECK(service.share() == 1);
  }
}

TEST_CASE("requests to lost servers turn nobody away") {
  SteadyAnswers service;
  for (int tick = 0; tick < 100; ++tick) {
    service.Tick(0.25 * kTarget, 8);
    CHECK(service.share() == 1);
  }
}

TEST_CASE("a service that nobody asks for lets everybody in again") {
  SteadyAnswers service;
  for (int tick = 0; tick < 100; ++tick) {
    service.Tick(2 * kTarget, 5);
  }
  CHECK(service.share() < 0.1);
  for (int tick = 0; tick < 400; ++tick) {
    service.QuietTick(0);
  }
  CHECK(service.share() == 1);
}

}  // namespace
}  // namespace gcw::direct
