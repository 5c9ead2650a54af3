#ifndef GCW_PLATFORM_CONDITIONAL_WRITE_H_
#define GCW_PLATFORM_CONDITIONAL_WRITE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "gcw/platform/backoff.h"
#include "gcw/platform/platform_client.h"

namespace gcw::platform {

// The state of an object that a write is to bring about.
struct DesiredState {
  std::optional<std::string> value;  // nullopt: the object is to be deleted.
};

// Computes the desired state of an object from its current state (null if the
// object does not exist), or fails if the write must not be made in that state,
// for example because the object has changed. The intent is called again after
// each conflict. A desired value must have the operation id in its field "op".
using WriteIntent = std::function<Result<DesiredState>(const Object* current)>;

// A conditional write of one object.
struct WriteRequest {
  std::string key;
  std::string op;  // Operation id. Must never be reused.
  WriteIntent intent;
  // A revision of the platform before the first attempt of this write. If the
  // object does not exist, the events after this revision are searched for the
  // operation id. 0: all events are searched.
  Version base_revision = 0;
  // Whether another process may already have written the object with the same
  // operation id. Such an earlier write has a version larger than
  // `repeat_after`.
  bool may_be_repeat = false;
  Version repeat_after = 0;
  // Searches the events after `repeat_after` for the operation id before each
  // write. Required if the intent accepts any version of the object, since it
  // then does not fail after an earlier write of the same operation. Used only
  // together with `may_be_repeat`.
  bool search_events_first = false;
};

// Retry policy of conditional writes.
struct WriteOptions {
  // Pauses between attempts after failures of the platform.
  BackoffOptions backoff{absl::Milliseconds(10), absl::Milliseconds(500)};
  // Pauses between attempts after conflicts with other writers. They are short,
  // because a longer pause does not make the next attempt likelier to succeed.
  BackoffOptions conflict_backoff{absl::Milliseconds(5),
                                  absl::Milliseconds(40)};
  // The write fails if it is not complete after this time.
  absl::Duration time_limit = absl::Seconds(5);
  // The write fails after more conflicts than this.
  int max_conflicts = 50;
};

// The outcome of a write that has been made.
struct WriteOutcome {
  // Version of the write. 0 for a deletion without an answer that was detected
  // by the absence of the object.
  Version version = 0;
  // Whether the write was found by reading the object or its events, because
  // the answer was lost or an earlier process made the write.
  bool recognized = false;
  // Whether a later write has replaced this write.
  bool superseded = false;

  bool operator==(const WriteOutcome&) const = default;
};

// The steps that a ConditionalWrite returns, to be executed by its caller.

// Read the object.
struct ReadObject {};
// Read the events of the key after a version, without waiting for new events.
struct ReadEvents {
  Version after = 0;
};
// Write the object if its current version is `if_version`; 0: create the
// object.
struct PutObject {
  std::string value;
  Version if_version = 0;
};
// Delete the object if its current version is `if_version`.
struct DeleteObject {
  Version if_version = 0;
};
// Wait for a duration.
struct Pause {
  absl::Duration duration;
};
// The write is over. No step follows.
struct Finish {
  Result<WriteOutcome> result;
};
using WriteStep = std::
    variant<ReadObject, ReadEvents, PutObject, DeleteObject, Pause, Finish>;

// State machine of one write of one object. The write is retried after lost
// answers, conflicts and short outages, and takes effect at most once:
//
// - If the answer to a write is lost, the object is read. Its operation id, or
//   the events since the write, show whether the write was made.
// - After a conflict, the intent is called again with the current state.
// - If it cannot be determined whether the write was made, the result is
//   kPlatformOutcomeUnknown.
//
// An update or deletion that reaches the platform late has no effect, because
// the object is no longer at the version on which the write is conditional. A
// creation is not conditional on a version: it is assumed to reach the
// platform, if at all, before the call has timed out and the pause that follows
// has ended.
//
// Does no I/O: the caller executes each returned step and passes the result to
// the matching On method. Not thread-safe.
class ConditionalWrite {
 public:
  ConditionalWrite(WriteRequest request,
                   const WriteOptions& options,
                   std::uint64_t seed,
                   absl::Time now);
  ~ConditionalWrite();

  // Returns the first step.
  WriteStep Start();
  // Each of the following takes the result of the step that was returned last
  // and returns the next step: OnObject() for ReadObject, OnEvents() for
  // ReadEvents, OnWritten() for PutObject and DeleteObject, OnPaused() for
  // Pause.
  WriteStep OnObject(Result<Object> object, absl::Time now);
  WriteStep OnEvents(const Result<WatchAnswer>& answer, absl::Time now);
  WriteStep OnWritten(const Result<Version>& version, absl::Time now);
  WriteStep OnPaused(absl::Time now);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// Runs conditional writes with a PlatformClient. Calls block. Not thread-safe.
class ConditionalWriter {
 public:
  // `client` must outlive the writer.
  ConditionalWriter(PlatformClient* client,
                    const WriteOptions& options,
                    std::uint64_t seed);

  // Makes one write and returns its outcome. Fails with the error of the
  // intent, with kVersionConflict after too many conflicts, with a kPlatform*
  // error if nothing was written, or with kPlatformOutcomeUnknown if the write
  // may have been made.
  Result<WriteOutcome> Write(WriteRequest request);

 private:
  PlatformClient* client_;
  WriteOptions options_;
  std::uint64_t seed_;
};

// Returns the operation id in the field "op" of an object's value, or "" if the
// value has no such field. Thread-safe.
std::string OperationIdOf(const std::string& value);

}  // namespace gcw::platform

#endif  // GCW_PLATFORM_CONDITIONAL_WRITE_H_
