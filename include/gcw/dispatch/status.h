#ifndef GCW_DISPATCH_STATUS_H_
#define GCW_DISPATCH_STATUS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/time/time.h"

namespace gcw::dispatch {

// Quantiles of a latency histogram.
struct LatencySummary {
  std::uint64_t count = 0;
  absl::Duration p50;
  absl::Duration p99;
  absl::Duration p999;
};

// Counters since the start of the daemon.
struct DispatchCounters {
  std::uint64_t received = 0;  // Requests from callers, repeats included.
  std::uint64_t repeats = 0;   // Of them: the id was known.
  std::uint64_t answered = 0;  // Whole answers sent to callers.
  std::uint64_t refused_not_run = 0;  // Refusals that promise "not run".
  std::uint64_t unknown = 0;          // Refusals with kOutcomeUnknown.
  std::uint64_t cut = 0;              // Refusals with kAnswerCut.
  std::uint64_t attempts = 0;         // Requests sent to backend servers.
  std::uint64_t retries = 0;          // Of them: not the first of the request.
  std::uint64_t sheds = 0;
  std::uint64_t dropped_answers = 0;  // Late, duplicated, crossed or wrong.
  std::uint64_t cancelled = 0;
  std::uint64_t handed = 0;  // Requests handed to another daemon.
  std::uint64_t control_bytes = 0;

  bool operator==(const DispatchCounters&) const = default;
};

struct ServiceStatus {
  std::string service;
  std::uint32_t queued = 0;
  LatencySummary time_in_queue;
  LatencySummary time_to_answer;
};

// A backend server as its home daemon sees it.
struct ServerStatus {
  std::string server;
  std::string home;
  std::uint32_t in_flight = 0;
  std::uint32_t allowed = 0;  // Slots that may be in use now.
  std::uint32_t slots = 0;
  bool cold = false;
  bool ejected = false;
  std::uint64_t incarnation = 0;
};

struct DispatchStatus {
  DispatchCounters counters;
  std::vector<ServiceStatus> services;
  std::vector<ServerStatus> servers;
  // Whether first arrivals of non-idempotent requests can be told from repeats.
  bool certain = false;
};

// What new flows should know of a backend server.
struct ServerCapacity {
  std::string server;
  bool cold = false;
  bool ejected = false;
  // Share of its normal work that it bears, 0 to 1.
  double share = 1;

  bool operator==(const ServerCapacity&) const = default;
};

}  // namespace gcw::dispatch

#endif  // GCW_DISPATCH_STATUS_H_
