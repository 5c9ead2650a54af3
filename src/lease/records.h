#ifndef GCW_SRC_LEASE_RECORDS_H_
#define GCW_SRC_LEASE_RECORDS_H_

#include <string>
#include <string_view>

#include "gcw/lease/lease_store.h"

namespace gcw::lease {

// The stored value of a lease object.
struct LeaseRecord {
  std::string holder;
  // Unique for each write: tells the writer after a lost answer whether its
  // write took effect.
  std::string op;
  bool released = false;
};

// The stored value of a guarded object: the data and the fencing token of the
// holder that wrote it.
struct GuardedRecord {
  Version fence = 0;          // The fencing token.
  std::string op;             // Unique for each write, as in LeaseRecord.
  std::string data = "null";  // A JSON text.
};

// Encode records as the JSON texts that are stored. Thread-safe.
std::string ToJson(const LeaseRecord& record);
std::string ToJson(const GuardedRecord& record);

// Decodes a stored lease. Fields that are missing or have the wrong type stay
// empty, and so does the whole record if the text is not a JSON object: its
// writer is unknown and therefore not this member. Thread-safe.
LeaseRecord ParseLease(std::string_view json);
// Decodes a stored guarded object. If the text is JSON without the fields of a
// guarded object, as before the first fenced write, the whole text becomes the
// data and the fence is 0. Data is null if the text is not JSON. Thread-safe.
GuardedRecord ParseGuarded(std::string_view json);

// Whether `text` is valid JSON. Thread-safe.
bool IsJson(std::string_view text);

}  // namespace gcw::lease

#endif  // GCW_SRC_LEASE_RECORDS_H_
