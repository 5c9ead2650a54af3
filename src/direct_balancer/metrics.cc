#include "src/direct_balancer/metrics.h"

#include <fmt/format.h>
#include <unistd.h>

#include <boost/histogram.hpp>
#include <iterator>
#include <string_view>
#include <vector>

#include "gcw/base/process_usage.h"

namespace gcw::direct_balancer {
namespace {

// Appends the HELP and TYPE lines of a metric.
void AppendHeader(std::string& out,
                  std::string_view name,
                  std::string_view type,
                  std::string_view help) {
  fmt::format_to(std::back_inserter(out), "# HELP {} {}\n# TYPE {} {}\n", name,
                 help, name, type);
}

// Appends a metric that has a single sample without labels.
void AppendSample(std::string& out,
                  std::string_view name,
                  std::string_view type,
                  std::string_view help,
                  std::uint64_t value) {
  AppendHeader(out, name, type, help);
  fmt::format_to(std::back_inserter(out), "{} {}\n", name, value);
}

// Appends what this process uses, under the names that Prometheus clients have
// for it. Without these samples an operator cannot tell a daemon that is about
// to exceed its memory from one that is not.
void AppendProcessUsage(std::string& out) {
  const auto usage = ReadProcessUsage(getpid());
  if (!usage) {
    return;
  }
  AppendHeader(out, "process_cpu_seconds_total", "counter",
               "Processor time of all threads.");
  fmt::format_to(std::back_inserter(out), "process_cpu_seconds_total {}\n",
                 absl::ToDoubleSeconds(usage->processor_time));
  AppendSample(out, "process_resident_memory_bytes", "gauge",
               "Resident memory.",
               static_cast<std::uint64_t>(usage->resident_bytes));
  AppendSample(out, "process_resident_memory_peak_bytes", "gauge",
               "The most resident memory since the start.",
               static_cast<std::uint64_t>(usage->peak_resident_bytes));
  AppendSample(out, "process_open_fds", "gauge", "Open file descriptors.",
               usage->descriptors);
}

// Edges of the histogram buckets, in seconds.
constexpr auto kBucketEdges =
    std::to_array<double>({0, 0.002, 0.005, 0.01, 0.02, 0.03, 0.05, 0.075, 0.1,
                           0.15, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2.5, 5});

// Metric names and HELP texts, indexed by the kind of a latency sample.
constexpr std::array<std::string_view, 2> kHistogramNames{"gcw_opening_seconds",
                                                          "gcw_answer_seconds"};
constexpr std::array<std::string_view, 2> kHistogramHelp{
    "From a flow's first packet to its caller's next one.",
    "From a request's first data to an acknowledged answer."};

}  // namespace

// Latency histograms by kind and service, and the count and sum of answer
// latencies by backend server.
class Metrics::LatencyHistograms {
 public:
  void Add(const direct::LatencySample& wait) {
    const auto kind = static_cast<std::size_t>(wait.kind);
    const double seconds = absl::ToDoubleSeconds(wait.latency);
    auto& by_service = services_[kind];
    auto it = by_service.find(wait.service);
    if (it == by_service.end()) {
      it = by_service.emplace(wait.service, Series()).first;
    }
    it->second.histogram(seconds);
    it->second.sum += seconds;
    if (wait.kind == direct::LatencySample::Kind::kAnswer) {
      Total& total = servers_[wait.server];
      ++total.count;
      total.sum += seconds;
    }
  }

  void Render(std::string& out) const {
    for (std::size_t kind = 0; kind < kHistogramNames.size(); ++kind) {
      AppendHeader(out, kHistogramNames[kind], "histogram",
                   kHistogramHelp[kind]);
      for (const auto& [service, series] : services_[kind]) {
        Render(out, kHistogramNames[kind], service, series);
      }
    }
    AppendHeader(out, "gcw_server_answer_seconds", "summary",
                 "Answers by backend server.");
    for (const auto& [server, total] : servers_) {
      fmt::format_to(std::back_inserter(out),
                     "gcw_server_answer_seconds_sum{{server=\"{0}\"}} {1}\n"
                     "gcw_server_answer_seconds_count{{server=\"{0}\"}} {2}\n",
                     server, total.sum, total.count);
    }
  }

 private:
  using Histogram = decltype(boost::histogram::make_histogram(
      boost::histogram::axis::variable<>(kBucketEdges.begin(),
                                         kBucketEdges.end())));
  struct Series {
    Histogram histogram = boost::histogram::make_histogram(
        boost::histogram::axis::variable<>(kBucketEdges.begin(),
                                           kBucketEdges.end()));
    double sum = 0;
  };
  struct Total {
    std::uint64_t count = 0;
    double sum = 0;
  };

  static void Render(std::string& out,
                     std::string_view name,
                     std::string_view service,
                     const Series& series) {
    const auto end = std::back_inserter(out);
    double cumulative = 0;
    for (int i = 0; i + 1 < static_cast<int>(kBucketEdges.size()); ++i) {
      cumulative += series.histogram.at(i);
      fmt::format_to(end, "{}_bucket{{service=\"{}\",le=\"{}\"}} {}\n", name,
                     service, kBucketEdges[static_cast<std::size_t>(i) + 1],
                     cumulative);
    }
    const double count = boost::histogram::algorithm::sum(series.histogram);
    fmt::format_to(end,
                   "{0}_bucket{{service=\"{1}\",le=\"+Inf\"}} {2}\n"
                   "{0}_sum{{service=\"{1}\"}} {3}\n"
                   "{0}_count{{service=\"{1}\"}} {2}\n",
                   name, service, count, series.sum);
  }

  std::array<std::map<std::string, Series, std::less<>>, 2> services_;
  std::map<std::string, Total, std::less<>> servers_;
};

Metrics::Metrics()
    : latency_histograms_(std::make_unique<LatencyHistograms>()) {}
Metrics::~Metrics() = default;

void Metrics::AddWait(const direct::LatencySample& wait) {
  absl::MutexLock lock(&mutex_);
  latency_histograms_->Add(wait);
}

void Metrics::SetAcceptStats(std::string_view port, const AcceptStats& stats) {
  absl::MutexLock lock(&mutex_);
  const auto it = accepts_.find(port);
  if (it == accepts_.end()) {
    accepts_.emplace(port, stats);
  } else {
    it->second = stats;
  }
}

void Metrics::RenderZoneLoads(std::string& out) const {
  const auto end = std::back_inserter(out);
  AppendHeader(out, "gcw_zone_utilisation", "gauge",
               "Requests of all daemons per slot, as estimated here.");
  for (const direct::ZoneLoadStats& zone : router_.zone_loads) {
    if (zone.utilisation) {
      fmt::format_to(end,
                     "gcw_zone_utilisation{{service=\"{}\",zone=\"{}\"}} {}\n",
                     zone.service, zone.zone, *zone.utilisation);
    }
  }
  AppendHeader(out, "gcw_zone_slots", "gauge",
               "Slots of the servers that can take new flows.");
  for (const direct::ZoneLoadStats& zone : router_.zone_loads) {
    fmt::format_to(end, "gcw_zone_slots{{service=\"{}\",zone=\"{}\"}} {}\n",
                   zone.service, zone.zone, zone.slots);
  }
  AppendHeader(out, "gcw_load_age_seconds", "gauge",
               "Age of the newest figures of the fleet's load.");
  fmt::format_to(end, "gcw_load_age_seconds {}\n",
                 absl::ToDoubleSeconds(router_.load_age));
}

void Metrics::RenderServiceLoads(std::string& out) const {
  const auto end = std::back_inserter(out);
  AppendHeader(out, "gcw_overflow_share", "gauge",
               "Part of the new flows that goes to other zones.");
  for (const direct::ServiceLoadStats& service : router_.service_loads) {
    fmt::format_to(end, "gcw_overflow_share{{service=\"{}\"}} {}\n",
                   service.service, service.overflow_share);
  }
  AppendHeader(out, "gcw_admitted_share", "gauge",
               "Part of the new flows that is not refused.");
  for (const direct::ServiceLoadStats& service : router_.service_loads) {
    fmt::format_to(end, "gcw_admitted_share{{service=\"{}\"}} {}\n",
                   service.service, service.admitted_share);
  }
  AppendHeader(out, "gcw_flows_refused_total", "counter",
               "New flows that were refused, by cause and priority.");
  for (const direct::RefusalStats& refusal : router_.refusals) {
    fmt::format_to(end,
                   "gcw_flows_refused_total{{cause=\"{}\",priority=\"{}\"}} "
                   "{}\n",
                   refusal.cause, refusal.priority, refusal.flows);
  }
}

void Metrics::RenderSlowStarts(std::string& out) const {
  const auto end = std::back_inserter(out);
  AppendSample(out, "gcw_slow_start_servers", "gauge",
               "Backend servers in slow start.", router_.slow_starts.size());
  AppendHeader(out, "gcw_slow_start_share", "gauge",
               "Part of the usual new flows of a server in slow start.");
  for (const direct::SlowStartStats& server : router_.slow_starts) {
    fmt::format_to(end, "gcw_slow_start_share{{server=\"{}\"}} {}\n",
                   server.server, server.share);
  }
}

void Metrics::RenderLoadExchange(std::string& out) const {
  AppendSample(out, "gcw_load_datagrams_sent_total", "counter",
               "Datagrams of the load exchange sent.",
               load_exchange_.datagrams_sent);
  AppendSample(out, "gcw_load_bytes_sent_total", "counter",
               "UDP payload of these datagrams.", load_exchange_.bytes_sent);
  AppendSample(out, "gcw_load_refused_total", "counter",
               "Received datagrams of the load exchange without effect.",
               load_exchange_.refused);
}

std::string Metrics::Render(const EventLogStats& log) const {
  std::string out;
  const auto end = std::back_inserter(out);
  AppendHeader(out, "gcw_packets_total", "counter",
               "Packets from callers by what was decided.");
  for (std::size_t i = 0; i < packets_.size(); ++i) {
    fmt::format_to(end, "gcw_packets_total{{reason=\"{}\"}} {}\n",
                   ReasonName(static_cast<direct::Reason>(i)),
                   packets_[i].load(std::memory_order_relaxed));
  }
  AppendHeader(out, "gcw_platform_calls_total", "counter",
               "Calls to the platform by kind and result.");
  for (const auto& [key, count] : calls_.counts()) {
    fmt::format_to(end,
                   "gcw_platform_calls_total{{call=\"{}\",result=\"{}\"}} {}\n",
                   key.first, key.second, count);
  }
  absl::MutexLock lock(&mutex_);
  AppendSample(out, "gcw_flows", "gauge", "Flows seen lately.", router_.flows);
  AppendSample(out, "gcw_routes", "gauge", "Routes in force.", router_.routes);
  AppendSample(out, "gcw_configuration_version", "gauge",
               "The operators' number of the configuration in force.",
               router_.configuration);
  AppendHeader(out, "gcw_server_flows", "gauge",
               "Open flows by backend server.");
  for (const direct::ServerStats& server : router_.servers) {
    fmt::format_to(end,
                   "gcw_server_flows{{server=\"{}\",service=\"{}\","
                   "zone=\"{}\",state=\"{}\"}} {}\n",
                   server.name, server.service, server.zone, server.state,
                   server.open_flows);
  }
  AppendSample(out, "gcw_daemons", "gauge",
               "Daemons that are known, this one too.", router_.daemons);
  AppendSample(out, "gcw_untracked_flows_total", "counter",
               "Flows that were routed without being watched.",
               router_.untracked);
  AppendHeader(out, "gcw_state_age_seconds", "gauge",
               "Since the state held was the platform's.");
  for (std::size_t i = 0; i < direct::kFeedCount; ++i) {
    fmt::format_to(end, "gcw_state_age_seconds{{feed=\"{}\"}} {}\n",
                   direct::FeedName(static_cast<direct::Feed>(i)),
                   absl::ToDoubleSeconds(router_.feed_ages[i]));
  }
  AppendHeader(out, "gcw_connections_closed_total", "counter",
               "Accepted connections closed at the bound, by port and result.");
  for (const auto& [port, stats] : accepts_) {
    fmt::format_to(
        end,
        "gcw_connections_closed_total{{port=\"{0}\",result=\"idle\"}} {1}\n"
        "gcw_connections_closed_total{{port=\"{0}\",result=\"refused\"}} {2}\n",
        port, stats.closed, stats.refused);
  }
  AppendHeader(out, "gcw_accept_pauses_total", "counter",
               "Times without a descriptor or memory for a connection.");
  for (const auto& [port, stats] : accepts_) {
    fmt::format_to(end, "gcw_accept_pauses_total{{port=\"{}\"}} {}\n", port,
                   stats.pauses);
  }
  RenderZoneLoads(out);
  RenderServiceLoads(out);
  RenderSlowStarts(out);
  RenderLoadExchange(out);
  latency_histograms_->Render(out);
  AppendSample(out, "gcw_start_delays_total", "counter",
               "Failed attempts to open a port or to start a thread.",
               start_delays_.load(std::memory_order_relaxed));
  AppendSample(out, "gcw_log_lines_total", "counter", "Log lines written.",
               log.written);
  AppendSample(out, "gcw_log_suppressed_total", "counter",
               "Log lines left out because of their rate.", log.suppressed);
  AppendSample(out, "gcw_log_overflowed_total", "counter",
               "Log lines lost because the queue was full.", log.overflowed);
  AppendSample(out, "gcw_log_queue_bytes", "gauge", "Log bytes that wait.",
               log.queued_bytes);
  AppendProcessUsage(out);
  return out;
}

}  // namespace gcw::direct_balancer
