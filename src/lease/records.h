#ifndef GCW_SRC_LEASE_RECORDS_H_
#define GCW_SRC_LEASE_RECORDS_H_

#include <string>
#include <string_view>

#include "gcw/lease/lease_store.h"

namespace gcw::lease {

// The value of a lease object.
struct LeaseRecord {
  std::string holder;
  std::string op;  // Unique for each write, so its writer knows it again.
  bool released = false;
};

// The value of a guarded object: the data and under which tenure it was
// written.
struct GuardedRecord {
  Version fence = 0;
  std::string op;
  std::string data = "null";  // A JSON text.
};

// JSON texts for the store. Thread-safe.
std::string ToJson(const LeaseRecord& record);
std::string ToJson(const GuardedRecord& record);

// A record with empty fields for a text that is none: whoever wrote it is
// nobody that this library knows. Thread-safe.
LeaseRecord ParseLease(std::string_view json);
// For an object that never was guarded, the whole text is the data.
GuardedRecord ParseGuarded(std::string_view json);

// Thread-safe.
bool IsJson(std::string_view text);

}  // namespace gcw::lease

#endif  // GCW_SRC_LEASE_RECORDS_H_
