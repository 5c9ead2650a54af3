#ifndef GCW_DIRECT_BALANCER_EVENT_WRITER_H_
#define GCW_DIRECT_BALANCER_EVENT_WRITER_H_

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "gcw/base/event_log.h"
#include "gcw/direct/events.h"

namespace gcw::direct_balancer {

// The process began to serve.
struct ProcessStarted {
  std::string name;
  std::string zone;
  std::string packets;
};

// The process was told to stop.
struct ProcessStopping {
  int signal = 0;
};

struct ProcessStopped {
  absl::Duration after;          // Since it was told to stop.
  absl::Duration quiet_for;      // Since the last packet.
  std::uint64_t open_flows = 0;  // Seen lately; other daemons take them over.
};

// The settings file was read again.
struct SettingsReloaded {
  bool accepted = false;
  std::string error;
  std::vector<std::string_view> needs_restart;  // Fields that were ignored.
};

// An object of the platform that could not be decoded and names nothing.
struct ObjectUnreadable {
  std::string key;
  direct::Version revision = 0;
  std::string error;
};

// Whether the daemon asks the routers for packets.
struct ReadyChanged {
  bool ready = false;
  bool synced = false;
  bool leaving = false;
};

// This process did not run for a while.
struct PauseNoticed {
  absl::Duration lasted;
};

// Another daemon joined, is suspected, died or left.
struct MemberChanged {
  std::string member;
  std::string zone;
  std::string change;
};

// A daemon of the zone said that the platform does not serve it.
struct WatcherNotServed {
  std::string member;
};

// A message between daemons that could not be verified or read.
struct MessageRefused {
  Endpoint from;
  std::string error;
  std::uint64_t refused = 0;  // So far.
};

using ProcessEvent = std::variant<ProcessStarted,
                                  ProcessStopping,
                                  ProcessStopped,
                                  SettingsReloaded,
                                  ObjectUnreadable,
                                  ReadyChanged,
                                  PauseNoticed,
                                  MemberChanged,
                                  WatcherNotServed,
                                  MessageRefused>;

// What all lines of one event begin with.
struct LogHeading {
  LogLevel level = LogLevel::kInfo;
  std::string_view part;
  std::string_view event;
};

// One line of the log: what EventLog::Write takes.
struct LogLine {
  LogHeading heading;
  nlohmann::ordered_json fields;
};

// How an event is written. docs/LOGS.md lists every event and field; a test
// keeps both in step. Thread-safe.
LogLine ToLine(const direct::Event& event);
LogLine ToLine(const ProcessEvent& event);

// Writes typed events into a log. The fields of a line are made only if the log
// admits it. Thread-safe.
class EventWriter {
 public:
  // `log` must outlive the writer.
  explicit EventWriter(EventLog& log) : log_(log) {}

  void Write(const direct::Event& event);
  void Write(const ProcessEvent& event);

 private:
  EventLog& log_;
};

}  // namespace gcw::direct_balancer

#endif  // GCW_DIRECT_BALANCER_EVENT_WRITER_H_
