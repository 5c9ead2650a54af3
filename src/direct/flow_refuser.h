#ifndef GCW_DIRECT_FLOW_REFUSER_H_
#define GCW_DIRECT_FLOW_REFUSER_H_

#include <cstdint>
#include <map>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "gcw/direct/direct_router.h"
#include "gcw/direct/events.h"
#include "gcw/direct/packet.h"
#include "src/direct/active_configuration.h"
#include "src/direct/admission_table.h"
#include "src/direct/feed_states.h"
#include "src/direct/server_entry.h"
#include "src/direct/unknown_cookies.h"

namespace gcw::direct {

// Refuses packets: decides whether the packet is dropped or its flow is reset,
// reports it as FlowRefused, and counts refused new flows. Has no I/O. Not
// thread-safe.
class FlowRefuser {
 public:
  // The arguments must outlive this object. `lapse_grace` is
  // RouterOptions::lapse_grace.
  FlowRefuser(const ActiveConfiguration& configuration,
              const FeedStates& feeds,
              absl::Duration lapse_grace,
              std::vector<Event>* events)
      : configuration_(configuration),
        feeds_(feeds),
        lapse_grace_(lapse_grace),
        events_(events) {}

  // Refuses `packet` because of `server`, or of no single server if it is null.
  // `evidence_age` is how long the reason has been known.
  Decision Refuse(const Packet& packet,
                  Reason reason,
                  const ServerEntry* server,
                  absl::Duration evidence_age,
                  absl::Time now);
  // Refuses a packet whose cookie matches no known server. The packet is
  // dropped as long as this daemon may not have read the server from the store
  // yet. The flow is reset if the server list is confirmed at least
  // RouterOptions::lapse_grace after the cookie was first seen, and after the
  // flow was: a list that is older than the packet cannot tell that the server
  // is gone, or has not come back.
  Decision RefuseUnknownCookie(const Packet& packet, absl::Time now);

  // Resets a new flow because its service is overloaded, of whose new flows
  // `admitted_share` are admitted. `figures_recent` tells whether recent
  // figures of the whole fleet are known.
  Decision RefuseOverloaded(const Packet& packet,
                            std::uint32_t priority,
                            double admitted_share,
                            const Admission& admission,
                            bool figures_recent,
                            absl::Time now);
  // Refuses a new flow that no server can take. With `leave_to_others`, other
  // daemons may reach more servers. The SYN is then dropped instead of reset,
  // so that its caller retransmits it and another daemon can receive it.
  Decision RefuseUnplaced(const Packet& packet,
                          std::uint32_t priority,
                          const ExcludedServers& excluded,
                          bool leave_to_others,
                          absl::Time now);

  // Forgets unknown cookies that were first seen before `now` - `max_age`.
  void Expire(absl::Duration max_age, absl::Time now) {
    unknown_cookies_.Expire(max_age, now);
  }

  // The refused new flows by cause and priority.
  std::vector<RefusalStats> Stats() const;

 private:
  void Count(std::string_view cause, std::uint32_t priority) {
    ++refusals_[{cause, priority}];
  }

  const ActiveConfiguration& configuration_;
  const FeedStates& feeds_;
  const absl::Duration lapse_grace_;
  std::vector<Event>* const events_;
  UnknownCookies unknown_cookies_;
  // By cause and priority.
  std::map<std::pair<std::string_view, std::uint32_t>, std::uint64_t> refusals_;
};

}  // namespace gcw::direct

#endif  // GCW_DIRECT_FLOW_REFUSER_H_
