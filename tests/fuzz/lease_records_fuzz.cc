#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "src/lease/records.h"

namespace lease = gcw::lease;

// Whatever lies in the store, the data that a claim writes back is JSON and
// survives the next claim unchanged.
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
  const lease::GuardedRecord again = lease::ParseGuarded(lease::ToJson(record));
  if (again.data != record.data || again.fence != 7) {
    std::abort();
  }
  return 0;
}
