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
  std::uint64_t received = 0;  // Requests from callers, including repeats.
  std::uint64_t repeats = 0;   // Copies of a request that the owner knew.
  std::uint64_t answered = 0;  // Complete answers sent to callers.
  std::uint64_t refused_not_run = 0;  // Refusals that guarantee "not run".
  std::uint64_t unknown = 0;          // Refusals with kOutcomeUnknown.
  std::uint64_t cut = 0;              // Refusals with kAnswerCut.
  std::uint64_t attempts = 0;         // Sent to backend servers.
  std::uint64_t retries = 0;          // Attempts after a request's first.
  std::uint64_t sheds = 0;            // Attempts that servers shed.
  // Late, duplicate, misdirected or invalid messages from servers.
  std::uint64_t dropped_answers = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t handed = 0;  // Requests assigned to the home on another daemon.
  std::uint64_t control_bytes = 0;  // Bytes of hints sent to other daemons.

  bool operator==(const DispatchCounters&) const = default;
};

// Queue and latencies of one service on one home daemon.
struct ServiceStatus {
  std::string service;
  std::uint32_t queued = 0;
  LatencySummary time_in_queue;
  LatencySummary time_to_answer;
};

// The state of a backend server as its home daemon sees it.
struct ServerStatus {
  std::string server;
  std::string home;
  std::uint32_t in_flight = 0;
  std::uint32_t allowed = 0;  // Current limit of slots in use.
  std::uint32_t slots = 0;
  bool cold = false;
  bool ejected = false;
  std::uint64_t incarnation = 0;
};

// The state of one dispatcher.
struct DispatchStatus {
  DispatchCounters counters;
  std::vector<ServiceStatus> services;
  std::vector<ServerStatus> servers;
  // Whether this daemon, as a witness, can tell first arrivals of
  // non-idempotent requests from repeats: it has observed the cluster for
  // repeat_lifetime.
  bool certain = false;
};

// The current capacity of a backend server, for the routing of new flows.
struct ServerCapacity {
  std::string server;
  bool cold = false;
  bool ejected = false;
  // Share of its normal load that the server can take, 0 to 1.
  double share = 1;

  bool operator==(const ServerCapacity&) const = default;
};

}  // namespace gcw::dispatch

#endif  // GCW_DISPATCH_STATUS_H_
