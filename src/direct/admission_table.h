#ifndef GCW_DIRECT_ADMISSION_TABLE_H_
#define GCW_DIRECT_ADMISSION_TABLE_H_

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "gcw/direct/events.h"
#include "gcw/direct/resources.h"
#include "src/direct/admission_controller.h"
#include "src/direct/server_table.h"

namespace gcw::direct {

// The admission of each service, and the load that each adapts to. Pure; not
// thread-safe.
class AdmissionTable {
 public:
  // `events` must outlive this object.
  AdmissionTable(std::uint64_t seed, std::vector<Event>* events)
      : seed_(seed), events_(events) {}

  // The services there are; those that stay keep what they learned.
  void SetServices(std::span<const Service> services);

  // As Admission::Admit. A service that is not known admits everything.
  bool Admit(std::string_view service, std::uint32_t priority);
  // The part of the service's new flows that is placed.
  double AdmittedShare(std::string_view service) const;
  // A server of the service answered after `waited`. `target` may be zero: then
  // nothing is learned.
  void OnAnswer(std::string_view service,
                absl::Duration latency,
                absl::Duration target);

  // Adapts to what waits at the servers now; to be called every 50 ms or so.
  void OnTick(const ServerTable& servers,
              std::uint32_t daemons,
              absl::Time now);

 private:
  const std::uint64_t seed_;
  std::vector<Event>* const events_;
  std::map<std::string, AdmissionController, std::less<>> controllers_;
};

}  // namespace gcw::direct

#endif  // GCW_DIRECT_ADMISSIONS_H_
