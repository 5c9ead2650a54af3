#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "src/lease/records.h"

namespace lease = gcw::lease;

// Checks that, whatever text the store holds for a guarded record, the parsed
// data is JSON and does not change when the record is written back and parsed
// again.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string text(reinterpret_cast<const char*>(data), size);
  (void)lease::ParseLease(text);
  lease::GuardedRecord record = lease::ParseGuarded(text);
  if (!lease::IsJson(record.data)) {
    std::abort();
  }
  record.fence = 7;
  record.op = "op";
  const lease::GuardedRecord reparsed =
      lease::ParseGuarded(lease::ToJson(record));
  if (reparsed.data != record.data || reparsed.fence != 7) {
    std::abort();
  }
  return 0;
}
