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
#include "src/direct/fleet_load.h"
#include "src/direct/server_table.h"

namespace gcw::direct {

// Holds an AdmissionController for each service and tells it the current load
// of the service. Has no I/O. Not thread-safe.
class AdmissionTable {
 public:
  // `events` must outlive this object.
  AdmissionTable(std::uint64_t seed, std::vector<Event>* events)
      : seed_(seed), events_(events) {}

  // Replaces the set of services. Services that were already in the set keep
  // their controllers.
  void SetServices(std::span<const Service> services);

  // Calls AdmissionController::Admit() for `service`. Admits the flow if
  // the service is unknown.
  Admission Admit(std::string_view service,
                  const NewFlow& flow,
                  absl::Time now,
                  absl::Time wall_time);
  // The share of the service's new flows that are admitted; 1 if the service is
  // unknown.
  double AdmittedShare(std::string_view service) const;
  // Records the latency of an answer of `service`. Does nothing if `target`,
  // the target latency of its route, is zero.
  void OnAnswer(std::string_view service,
                absl::Duration latency,
                absl::Duration target);

  // Adjusts the controllers to the current load of the fleet. Call this about
  // every 50 ms.
  void OnTick(const ServerTable& servers,
              const FleetLoad& load,
              absl::Time now);

 private:
  const std::uint64_t seed_;
  std::vector<Event>* const events_;
  std::map<std::string, AdmissionController, std::less<>> controllers_;
};

}  // namespace gcw::direct

#endif  // GCW_DIRECT_ADMISSION_TABLE_H_
