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

// What a write wants of an object: a new value, or nothing to delete it.
struct DesiredState {
  std::optional<std::string> value;
};

// Derives the desired state from the fresh state of the object (null: there is
// none), or fails because the caller's intent does not hold there any more. It
// is asked again after each conflict. A value must hold the operation id in
// its field "op".
using WriteIntent = std::function<Result<DesiredState>(const Object* current)>;

struct WriteRequest {
  std::string key;
  std::string op;  // Operation id, unique for ever.
  WriteIntent intent;
  // A revision of the platform from before this write; 0: its first one. Where
  // the object does not exist, events are looked up from there on.
  Version base_revision = 0;
  // The same operation id may have been written before by another process, but
  // not before version `repeat_after`.
  bool may_be_repeat = false;
  Version repeat_after = 0;
  // The intent holds on any version, so that it would not notice a repeat:
  // events after `repeat_after` are searched before each write. Only with
  // `may_be_repeat`.
  bool search_events_first = false;
};

struct WriteOptions {
  // After failures of the platform.
  BackoffOptions backoff{absl::Milliseconds(10), absl::Milliseconds(500)};
  // After lost races: a longer pause would make the next one no likelier to be
  // won.
  BackoffOptions conflict_backoff{absl::Milliseconds(5),
                                  absl::Milliseconds(40)};
  absl::Duration time_limit = absl::Seconds(5);  // Then the write is given up.
  int max_conflicts = 50;
};

struct WriteOutcome {
  Version version = 0;  // Of the write; 0 for a deletion seen only as absence.
  bool recognized = false;  // The answer was lost, the operation id was found.
  bool superseded = false;  // Another write came after it.

  bool operator==(const WriteOutcome&) const = default;
};

// The steps that a ConditionalWrite asks for.
struct ReadObject {};
struct ReadEvents {  // Of the key, without waiting.
  Version after = 0;
};
struct PutObject {
  std::string value;
  Version if_version = 0;
};
struct DeleteObject {
  Version if_version = 0;
};
struct Pause {
  absl::Duration duration;
};
struct Finish {
  Result<WriteOutcome> result;
};
using WriteStep = std::
    variant<ReadObject, ReadEvents, PutObject, DeleteObject, Pause, Finish>;

// One write of one object that survives lost answers, conflicts and short
// outages, and takes effect at most once:
//
// - after an answer was lost, the object is read; its operation id, or else the
//   events since, tell whether the write was made;
// - after a conflict the intent is asked again on the fresh state;
// - what cannot be told ends in kPlatformOutcomeUnknown, never in a guess.
//
// An update or deletion may arrive late without harm, since its version is gone
// by then. A creation has no version to be conditional on: it is assumed to
// arrive, if ever, before its caller has given it up and paused.
//
// Pure: each step is followed by the call of its On method with the outcome.
// Not thread-safe.
class ConditionalWrite {
 public:
  ConditionalWrite(WriteRequest request,
                   const WriteOptions& options,
                   std::uint64_t seed,
                   absl::Time now);
  ~ConditionalWrite();

  // The first step.
  WriteStep Start();
  WriteStep OnObject(Result<Object> object, absl::Time now);
  WriteStep OnEvents(const Result<WatchAnswer>& answer, absl::Time now);
  WriteStep OnWritten(const Result<Version>& version, absl::Time now);
  WriteStep OnPaused(absl::Time now);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// Runs conditional writes on a client. Blocks. Not thread-safe.
class ConditionalWriter {
 public:
  // `client` must outlive the writer.
  ConditionalWriter(PlatformClient* client,
                    const WriteOptions& options,
                    std::uint64_t seed);

  // Fails with what the intent fails with, kVersionConflict after too many
  // conflicts, a kPlatform* error when nothing was written, or
  // kPlatformOutcomeUnknown.
  Result<WriteOutcome> Write(WriteRequest request);

 private:
  PlatformClient* client_;
  WriteOptions options_;
  std::uint64_t seed_;
};

// The field "op" of a value, or "" if it has none. Thread-safe.
std::string OperationIdOf(const std::string& value);

}  // namespace gcw::platform

#endif  // GCW_PLATFORM_CONDITIONAL_WRITE_H_
