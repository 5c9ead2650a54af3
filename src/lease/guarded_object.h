#ifndef GCW_SRC_LEASE_GUARDED_OBJECT_H_
#define GCW_SRC_LEASE_GUARDED_OBJECT_H_

#include <optional>
#include <string>

#include "gcw/lease/lease.h"
#include "src/lease/records.h"

namespace gcw::lease {

// Performs the lease holder's writes to one guarded object. At the start of
// each term (the time from acquiring the lease to losing or releasing it) the
// object is read and written back with the new fencing token. This changes the
// object's version, so a conditional write that an earlier holder still has in
// flight fails. Does no I/O: NextCall() returns the store calls to make. Not
// thread-safe.
class GuardedObject {
 public:
  explicit GuardedObject(std::string key) : key_(std::move(key)) {}

  const std::string& key() const { return key_; }
  // Whether the object has been rewritten with the token of the current term.
  bool fenced() const { return fenced_; }
  // Whether a requested write has not completed yet.
  bool write_pending() const { return requested_data_.has_value(); }

  // Starts a term with the fencing token `token`. Precondition:
  // !write_pending().
  void BeginTerm(Version token);

  // Requests a write of `json`. Precondition: fenced() and !write_pending().
  void Write(std::string json) { requested_data_ = std::move(json); }

  // The next store call for this object, or nullopt if none is needed. The
  // caller assigns the call's id. `new_operation_id` identifies the write in
  // the store if the call starts a new write rather than repeating one.
  std::optional<StoreCall> NextCall(const std::string& new_operation_id);

  // What the answer to a store call changes for the holder.
  enum class AnswerEffect {
    kNone,            // No requested write has completed.
    kWriteCompleted,  // The requested write has taken effect.
    kSuperseded,      // A later holder has written the object.
  };
  // Processes the answer to a kRead call of NextCall().
  AnswerEffect OnRead(const StoredObject& object);
  // Processes the answer to a kPut call of NextCall().
  AnswerEffect OnPut(const Result<Version>& result);

  // Ends the term. Returns the error of a requested write that has not
  // completed: kPlatformOutcomeUnknown if an attempt had no answer and may have
  // taken effect, else kLeaseLost. Returns nullopt if no write was requested.
  std::optional<Error> EndTerm();

  // The object's version as last read or written. Right after kWriteCompleted,
  // the version that the requested write gave it.
  Version version() const { return version_; }
  // Whether the last completed write had lost its answer and was found to have
  // taken effect by reading the object.
  bool confirmed_by_read() const { return confirmed_by_read_; }

 private:
  AnswerEffect OnWriteCompleted(Version version);

  const std::string key_;
  Version token_ = 0;
  Version version_ = 0;
  // Whether the object must be read before the next write.
  bool read_needed_ = true;
  bool fenced_ = false;
  bool confirmed_by_read_ = false;
  // Whether an attempt of the current write may have taken effect unnoticed.
  bool outcome_unknown_ = false;
  // The object's data as read; written back unchanged to fence the object.
  std::string read_data_ = "null";
  // Of the write in flight; empty if there is none.
  std::string operation_id_;
  std::optional<std::string> requested_data_;
};

}  // namespace gcw::lease

#endif  // GCW_SRC_LEASE_GUARDED_OBJECT_H_
