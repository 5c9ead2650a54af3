#include "gcw/direct/events.h"

namespace gcw::direct {
namespace {

constexpr std::array<std::string_view, kReasonCount> kReasonNames{
    "established",      "placed",         "placed_again",  "still_answering",
    "unknown_route",    "no_server",      "overloaded",    "server_gone",
    "server_restarted", "server_refuses", "server_silent", "cookie_unknown",
    "cookie_pending",   "no_cookie",      "not_synced",    "left_to_others",
    "waited_out_pause", "malformed"};
constexpr std::array<std::string_view, 5> kPresenceNames{
    "listed", "unreadable", "lapsed", "gone", "restarted"};
constexpr std::array<std::string_view, 4> kReachNames{"good", "suspect",
                                                      "refuses", "silent"};

}  // namespace

std::string_view ReasonName(Reason reason) {
  return kReasonNames[static_cast<std::size_t>(reason)];
}
std::string_view PresenceName(Presence presence) {
  return kPresenceNames[static_cast<std::size_t>(presence)];
}
std::string_view ReachName(Reach reach) {
  return kReachNames[static_cast<std::size_t>(reach)];
}

}  // namespace gcw::direct
