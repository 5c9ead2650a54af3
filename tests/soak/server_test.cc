#include "src/soak/server.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace gcw::soak {
namespace {

// A clock that tests advance.
class ManualScheduler : public lab::Scheduler {
 public:
  absl::Time now() const override { return now_; }
  void At(absl::Time when, std::function<void()> action) override {
    actions_.emplace(when, std::move(action));
  }
  void Advance(absl::Duration duration) {
    const absl::Time end = now_ + duration;
    while (!actions_.empty() && actions_.begin()->first <= end) {
      auto next = actions_.extract(actions_.begin());
      now_ = next.key();
      next.mapped()();
    }
    now_ = end;
  }

 private:
  absl::Time now_ = absl::UnixEpoch();
  std::multimap<absl::Time, std::function<void()>> actions_;
};

// A stand-in that takes any number of requests at once would hide that a zone
// is overloaded.
TEST_CASE("a server has four slots, queues 16 requests and rejects the rest") {
  ManualScheduler scheduler;
  std::map<char, int> replies;  // By the last character: the part.
  std::vector<std::string> executed;
  Server server(
      scheduler,
      [&](const adapter::EndHostPacket& end) {
        if (!end.data.empty()) {
          ++replies[end.data.back()];
        }
      },
      [&](const std::string& request) { executed.push_back(request); });
  adapter::EndHostPacket packet;
  packet.packet.syn = true;
  server.OnPacket(packet);
  packet.packet.syn = false;
  for (int i = 0; i < 25; ++i) {
    packet.data = "request " + std::to_string(i);
    server.OnPacket(packet);
  }
  CHECK(server.running() == 4);
  CHECK(executed.size() == 20);
  CHECK(replies[Server::kRejectedPart] == 5);
  scheduler.Advance(absl::Milliseconds(16));
  CHECK(replies['2'] == 4);
  scheduler.Advance(absl::Milliseconds(64));
  CHECK(replies['2'] == 20);
  CHECK(server.running() == 0);
  // A rejected request that arrives again must not run.
  server.OnPacket(packet);
  CHECK(executed.size() == 20);
  CHECK(replies[Server::kRejectedPart] == 6);

  server.set_slow(true);
  packet.data = "slow request";
  server.OnPacket(packet);
  scheduler.Advance(absl::Milliseconds(70));
  CHECK(replies['2'] == 20);
  scheduler.Advance(absl::Milliseconds(10));
  CHECK(replies['2'] == 21);
}

}  // namespace
}  // namespace gcw::soak
