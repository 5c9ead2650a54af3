#ifndef GCW_BASE_EVENT_LOG_H_
#define GCW_BASE_EVENT_LOG_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string_view>

#include "absl/time/time.h"
#include "gcw/base/log.h"
#include "gcw/base/result.h"

namespace gcw {

// Settings of an EventLog.
struct EventLogOptions {
  // The file descriptor to write to, by default standard output. EventLog does
  // not close it.
  int descriptor = 1;
  // Lines below this level are not written.
  LogLevel level = LogLevel::kInfo;
  // The maximum size in bytes of the lines that wait to be written.
  std::size_t queue_bytes = 256 * 1024;
  // The rate limit for the lines of each event name. It applies while the queue
  // is at most half full and is lower otherwise.
  double lines_per_second = 200;
  // How long the writer waits after the first line for further lines, to write
  // them together.
  absl::Duration batch_delay = absl::Milliseconds(100);
};

// What happened to the lines since the log was made.
struct EventLogStats {
  std::uint64_t written = 0;
  // Lines dropped because their event name exceeded its rate limit.
  std::uint64_t suppressed = 0;
  // Lines dropped because the queue was full, or because the reader was gone or
  // did not read until the log was closed.
  std::uint64_t overflowed = 0;
  // The current size of the queue.
  std::size_t queued_bytes = 0;
};

// A structured log with one JSON object per line, written by a thread of its
// own. A slow or stopped reader never blocks the threads that log. Lines over
// the rate limit or the size of the queue are dropped and counted per event
// name; the next written line of that event has the count in its field
// "suppressed". All methods but Close() are thread-safe.
class EventLog {
 public:
  // Starts the writing thread. Fails with kInternal if that is impossible.
  static Result<std::unique_ptr<EventLog>> Make(const EventLogOptions& options);
  // Closes the log, see Close().
  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  // Whether a line with this level and event name may be written now. If it
  // may, uses up one line of the event's rate limit. If the rate limit is
  // exceeded, counts the line as suppressed. Lets the logging code skip the
  // work of building a line that would be dropped.
  bool Admit(LogLevel level, std::string_view event);

  // Queues a line with the time, level, part and event, followed by `fields`.
  // `part` names the component that logs. Preconditions: Admit returned true
  // for this line; `fields` is a JSON object.
  void Write(LogLevel level,
             std::string_view part,
             std::string_view event,
             const nlohmann::ordered_json& fields);

  // Sets the lowest level that is written.
  void set_level(LogLevel level);
  // Writes the queued lines and ends the writing thread. Waits at most 300 ms
  // in all for the reader; when that expires, drops the remaining lines.
  // Returns the final counts. Later lines are not written. Must not be called
  // by two threads at the same time.
  EventLogStats Close();

  // The counts of lines so far.
  EventLogStats stats() const;

 private:
  class Impl;
  explicit EventLog(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace gcw

#endif  // GCW_BASE_EVENT_LOG_H_
