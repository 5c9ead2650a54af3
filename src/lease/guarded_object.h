#ifndef GCW_SRC_LEASE_GUARDED_OBJECT_H_
#define GCW_SRC_LEASE_GUARDED_OBJECT_H_

#include <optional>
#include <string>

#include "gcw/lease/lease.h"
#include "src/lease/records.h"

namespace gcw::lease {

// The holder's writes to one guarded object. At the start of a tenure the
// object is read and written back under the new token; from then on a write
// that an earlier holder still has under way finds another version. Pure and
// not thread-safe.
class GuardedObject {
 public:
  explicit GuardedObject(std::string key) : key_(std::move(key)) {}

  const std::string& key() const { return key_; }
  bool claimed() const { return claimed_; }
  bool busy() const { return wanted_.has_value(); }

  // A new tenure. Precondition: !busy().
  void Begin(Version token);

  // Precondition: claimed() and not busy().
  void Write(std::string json) { wanted_ = std::move(json); }

  // The next call for this object without an id, if there is one. `op` names
  // the write if a new one begins.
  std::optional<StoreCall> NextCall(const std::string& op);

  enum class Step {
    kContinue,
    kWritten,  // The write that was wanted has taken effect.
    kLost,     // A later holder has written the object.
  };
  Step OnRead(const StoredObject& object);
  Step OnPut(const Result<Version>& result);

  // Ends the tenure. The outcome of the write that was wanted, if any: lost, or
  // unknown where an answer never came.
  std::optional<Error> Abandon();

  // After kWritten, and whenever no write is under way.
  Version version() const { return version_; }
  // Whether the last completed write was found by its operation id.
  bool confirmed_by_read() const { return confirmed_by_read_; }

 private:
  Step Complete(Version version);

  const std::string key_;
  Version token_ = 0;
  Version version_ = 0;
  bool read_needed_ = true;
  bool claimed_ = false;
  bool confirmed_by_read_ = false;
  bool in_doubt_ = false;
  std::string data_ = "null";  // As read; written back by the claim.
  std::string op_;             // Of the write under way; empty if none.
  std::optional<std::string> wanted_;
};

}  // namespace gcw::lease

#endif  // GCW_SRC_LEASE_GUARDED_OBJECT_H_
