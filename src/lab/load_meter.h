#ifndef SRC_LAB_LOAD_METER_H_
#define SRC_LAB_LOAD_METER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "src/lab/world.h"

namespace gcw::lab {

// The load of one backend server at the time of a sample.
struct ServerLoad {
  int running = 0;    // Requests that the server processes now.
  int capacity = 0;   // Requests that the server can now process at a time.
  bool cold = false;  // The server is in its cold start, at reduced capacity.
};

// Measures how evenly load is spread over the backend servers, how far servers
// were overloaded during their cold start, and which share of the worth of its
// requests each organisation got answered. The worth of a request is the value
// that its caller states for it. Not thread-safe.
class LoadMeter {
 public:
  // `world` must outlive the meter.
  explicit LoadMeter(const World& world);

  // A server accepted a new flow of `service`.
  void NewFlow(ServiceIndex service, ServerIndex server);
  // A server in its cold start has `load` times the work it can process.
  void RecordColdLoad(double load);
  // Records `loads`, in the order of the topology's servers, as the load during
  // the last `span`.
  void Sample(const std::vector<ServerLoad>& loads, absl::Duration span);

  // A caller sent a request that occupies a slot of a server for `work`.
  // Returns the number of the current window, to be passed to Delivered().
  std::size_t Offered(ServiceIndex service, double worth, absl::Duration work);
  // A caller got its complete answer in time, `elapsed` after it sent the
  // request.
  void Delivered(ServiceIndex service,
                 double worth,
                 absl::Duration elapsed,
                 std::size_t window);
  // Ends the current measuring window: the requests offered in it competed for
  // the slots that servers had in it. `settled` is false if a zone was taken
  // out or returned shortly before.
  void EndWindow(bool settled);

  // The largest rate of new flows of a server of the service over the mean
  // rate, both relative to time in service; 1 if there were no flows.
  double FlowImbalance(ServiceIndex service) const;
  // The largest use of slots of a server of the service over the mean use, both
  // relative to time in service; 1 if no slot was used.
  double SlotImbalance(ServiceIndex service) const;
  // The quantile `share` of the answer times of the service's delivered
  // requests; 0 if there were none. Precondition: 0 < `share` <= 1.
  absl::Duration AnswerTime(ServiceIndex service, double share) const;
  // The largest load passed to RecordColdLoad(); 0 if there was none.
  double cold_overload() const { return cold_overload_; }
  // The delivered worth over the worth that the servers could have processed; 1
  // if the organisation offered nothing.
  double ServiceShare(const std::string& organisation) const;
  // Like ServiceShare(), but over settled windows only.
  double SettledServiceShare(const std::string& organisation) const;

 private:
  // A request that a caller sent.
  struct Offer {
    ServiceIndex service;
    double worth;
    double slot_seconds;
  };
  // The sums over the requests offered in one measuring window.
  struct Window {
    bool settled = false;
    std::vector<double> servable;   // Worth, by service.
    std::vector<double> delivered;  // Worth, by service.
  };
  // The load of one server over the time in which it was eligible: in service,
  // not in its cold start, and its zone not partitioned.
  struct ServerUse {
    double eligible_s = 0;
    double slot_seconds = 0;
    std::vector<std::uint64_t> flows;  // New flows, by service.
  };

  void OpenWindow();
  double Share(const std::string& organisation, bool settled_only) const;
  // Whether the server was in service long enough to count for the imbalance.
  bool IsMeasured(ServerIndex server) const;
  double Imbalance(ServiceIndex service,
                   double (*load)(const ServerUse&, ServiceIndex)) const;
  // Adds to the current window the worth of the offers to `services` that fit
  // into `slot_seconds`, those with the most worth per slot-second first.
  void AddServableWorth(const std::vector<ServiceIndex>& services,
                        double slot_seconds);

  const World& world_;
  double sampled_s_ = 0;
  std::vector<ServerUse> use_;
  std::vector<bool> eligible_;
  double cold_overload_ = 0;
  std::vector<Offer> offers_;  // Requests sent in the current window.
  std::vector<double>
      window_slot_seconds_;      // In the current window, by server.
  std::vector<Window> windows_;  // The last element is the current window.
  std::vector<std::vector<absl::Duration>> answer_times_;  // By service.
};

}  // namespace gcw::lab

#endif  // SRC_LAB_LOAD_METER_H_
