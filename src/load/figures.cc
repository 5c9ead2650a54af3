#include "gcw/load/figures.h"

#include "gcw/base/hash.h"

namespace gcw::load {

NameHash HashName(std::string_view name) {
  return static_cast<NameHash>(StableHash(name));
}

}  // namespace gcw::load
