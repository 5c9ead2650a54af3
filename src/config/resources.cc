#include "gcw/config/resources.h"

namespace gcw::config {

std::string_view ToString(ServerState state) {
  switch (state) {
    case ServerState::kIn:
      return "in";
    case ServerState::kDraining:
      return "draining";
    case ServerState::kOut:
      return "out";
  }
  return "unknown";
}

std::string_view ToString(ZoneState state) {
  return state == ZoneState::kIn ? "in" : "out";
}

std::string_view ToString(ServiceKind kind) {
  switch (kind) {
    case ServiceKind::kFlow:
      return "flow";
    case ServiceKind::kRequest:
      return "request";
    case ServiceKind::kMixed:
      return "mixed";
  }
  return "unknown";
}

}  // namespace gcw::config
