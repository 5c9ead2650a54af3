#include "src/direct_balancer/metrics.h"

#include <catch2/catch.hpp>
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
