#include "gcw/base/result.h"

#include <fmt/format.h>

namespace gcw {

std::string ToString(const Error& error) {
  const auto number = static_cast<unsigned>(error.code);
  if (error.field.empty()) {
    return fmt::format("{} {}: {}", number, ResultCodeName(error.code),
                       error.message);
  }
  return fmt::format("{} {}: {}: {}", number, ResultCodeName(error.code),
                     error.field, error.message);
}

}  // namespace gcw
