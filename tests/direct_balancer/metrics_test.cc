#include "src/direct_balancer/metrics.h"

#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace gcw::direct_balancer {
namespace {

TEST_CASE("latency samples are exported as histograms by service") {
  Metrics metrics;
  using Kind = direct::LatencySample::Kind;
  metrics.AddWait({Kind::kAnswer, "s", "a", absl::Milliseconds(40)});
  metrics.AddWait({Kind::kAnswer, "s", "a", absl::Milliseconds(60)});
  metrics.AddWait({Kind::kAnswer, "s", "b", absl::Seconds(60)});
  metrics.AddWait({Kind::kOpening, "s", "a", absl::Milliseconds(1)});
  const std::string text = metrics.Render({});
  for (const char* line :
       {"# TYPE gcw_answer_seconds histogram",
        "gcw_answer_seconds_bucket{service=\"s\",le=\"0.05\"} 1\n",
        "gcw_answer_seconds_bucket{service=\"s\",le=\"0.075\"} 2\n",
        "gcw_answer_seconds_bucket{service=\"s\",le=\"5\"} 2\n",
        "gcw_answer_seconds_bucket{service=\"s\",le=\"+Inf\"} 3\n",
        "gcw_answer_seconds_count{service=\"s\"} 3\n",
        "gcw_opening_seconds_bucket{service=\"s\",le=\"0.002\"} 1\n",
        "gcw_server_answer_seconds_count{server=\"a\"} 2\n"}) {
    INFO(line);
    CHECK(text.find(line) != std::string::npos);
  }
}

// Without these samples an operator cannot tell a daemon that sends flows to
// other zones, or refuses them, for good reason from one that does so wrongly.
TEST_CASE("metrics tell the load, the overflow and the slow starts") {
  Metrics metrics;
  direct::RouterStats stats;
  stats.zone_loads = {{"s", "a", 80, 0.75}, {"s", "b", 40, std::nullopt}};
  stats.service_loads = {{"s", 0.25, 0.5}};
  stats.slow_starts = {{"i-1", 0.125}};
  stats.load_age = absl::Milliseconds(400);
  metrics.SetRouterStats(stats);
  metrics.SetLoadExchangeStats(
      {.datagrams_sent = 5, .bytes_sent = 900, .refused = 2});
  const std::string text = metrics.Render({});
  for (const char* line :
       {"gcw_zone_utilisation{service=\"s\",zone=\"a\"} 0.75\n",
        "gcw_zone_slots{service=\"s\",zone=\"a\"} 80\n",
        "gcw_zone_slots{service=\"s\",zone=\"b\"} 40\n",
        "gcw_load_age_seconds 0.4\n",
        "gcw_overflow_share{service=\"s\"} 0.25\n",
        "gcw_admitted_share{service=\"s\"} 0.5\n", "gcw_slow_start_servers 1\n",
        "gcw_slow_start_share{server=\"i-1\"} 0.125\n",
        "gcw_load_datagrams_sent_total 5\n", "gcw_load_bytes_sent_total 900\n",
        "gcw_load_refused_total 2\n"}) {
    INFO(line);
    CHECK(text.find(line) != std::string::npos);
  }
  // An unknown utilisation must not look like an idle zone.
  CHECK(text.find("gcw_zone_utilisation{service=\"s\",zone=\"b\"}") ==
        std::string::npos);
}

// A daemon that was near its memory limit, out of descriptors or busy could not
// be told from any other.
TEST_CASE("metrics tell memory, processor time and descriptors") {
  const std::string text = Metrics().Render({});
  for (const char* name :
       {"\nprocess_cpu_seconds_total ", "\nprocess_resident_memory_bytes ",
        "\nprocess_resident_memory_peak_bytes ", "\nprocess_open_fds "}) {
    INFO(name);
    const std::size_t at = text.find(name);
    REQUIRE(at != std::string::npos);
    CHECK(std::stod(text.substr(at + std::string_view(name).size())) >= 0);
  }
  CHECK(text.find("process_resident_memory_bytes 0\n") == std::string::npos);
  CHECK(text.find("process_open_fds 0\n") == std::string::npos);
}

}  // namespace
}  // namespace gcw::direct_balancer
