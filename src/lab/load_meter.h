#ifndef SRC_LAB_LOAD_METER_H_
#define SRC_LAB_LOAD_METER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "src/lab/world.h"

namespace gcw::lab {

// What one server carried at a sample.
struct ServerLoad {
  int running = 0;
  int capacity = 0;  // Requests at a time that it bears now.
  bool cold = false;
};

// Measures how evenly load lies, what cold servers got, and what share of the
// offered worth each organisation was served. Not thread-safe.
class LoadMeter {
 public:
  explicit LoadMeter(const World& world);

  // A server took a new flow of `service`.
  void NewFlow(ServiceIndex service, ServerIndex server);
  // A cold server holds `load` times what it bears.
  void RecordColdLoad(double load);
  // `loads` held for `span`, in the order of the topology's servers.
  void Sample(const std::vector<ServerLoad>& loads, absl::Duration span);

  // A caller offered a request that takes `work` of a slot.
  // Returns the window of the offer, for Delivered().
  std::size_t Offered(ServiceIndex service, double worth, absl::Duration work);
  // A caller had its whole answer in time, `elapsed` after it asked.
  void Delivered(ServiceIndex service,
                 double worth,
                 absl::Duration elapsed,
                 std::size_t window);
  // Ends one window: what was offered in it competes for the slots of it. It
  // is settled unless a zone has just left or returned.
  void EndWindow(bool settled);

  // Largest over mean rate of new flows, relative to time in service; 1 if
  // there were none.
  double FlowImbalance(ServiceIndex service) const;
  // Largest over mean use of slots, relative to time in service.
  double SlotImbalance(ServiceIndex service) const;
  // The time that a share of the delivered requests took at most; 0 if there
  // were none. Precondition: 0 < `share` <= 1.
  absl::Duration AnswerTime(ServiceIndex service, double share) const;
  double cold_overload() const { return cold_overload_; }
  // Delivered worth over the worth that the servers could have borne; 1 if
  // the organisation offered nothing.
  double ServiceShare(const std::string& organisation) const;
  // The same over settled windows only.
  double SettledServiceShare(const std::string& organisation) const;

 private:
  struct Offer {
    ServiceIndex service;
    double worth;
    double slot_seconds;
  };
  struct Window {
    bool settled = false;
    std::vector<double> bearable;   // Worth, by service.
    std::vector<double> delivered;  // Worth, by service.
  };
  struct ServerUse {
    double eligible_s = 0;
    double slot_seconds = 0;
    std::vector<std::uint64_t> flows;  // By service.
  };

  void OpenWindow();
  double Share(const std::string& organisation, bool settled_only) const;
  bool Counts(ServerIndex server) const;
  double Imbalance(ServiceIndex service,
                   double (*load)(const ServerUse&, ServiceIndex)) const;
  void BearBestOffers(const std::vector<ServiceIndex>& services,
                      double slot_seconds);

  const World& world_;
  double sampled_s_ = 0;
  std::vector<ServerUse> use_;
  std::vector<bool> eligible_;
  double cold_overload_ = 0;
  std::vector<Offer> offers_;         // Of the current window.
  std::vector<double> window_slots_;  // Slot-seconds borne, by server.
  std::vector<Window> windows_;       // The last one is the current one.
  std::vector<std::vector<absl::Duration>> answer_times_;  // By service.
};

}  // namespace gcw::lab

#endif  // SRC_LAB_LOAD_METER_H_
