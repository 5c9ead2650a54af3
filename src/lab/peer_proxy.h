#ifndef SRC_LAB_PEER_PROXY_H_
#define SRC_LAB_PEER_PROXY_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "gcw/base/result.h"
#include "src/lab/event_loop.h"
#include "src/lab/network.h"
#include "src/lab/world.h"

namespace gcw::lab {

// Bytes that one daemon exchanged with other daemons.
struct PeerTraffic {
  std::uint64_t control_sent = 0;  // Membership datagrams and streams.
  std::uint64_t control_received = 0;
  std::uint64_t relayed_sent = 0;  // Forwarded flow packets and requests.
};

// A proxy on the advertised addresses of all daemons. It forwards the datagrams
// and streams that daemons send to these addresses to the address that the
// receiver binds, with the faults of the network. It identifies the sender by
// the address that the sender binds. Not thread-safe.
class PeerProxy {
 public:
  // `loop`, `world` and `network` must outlive the proxy. Fails with
  // kBindFailed if an address cannot be bound.
  static Result<std::unique_ptr<PeerProxy>> Make(EventLoop& loop,
                                                 const World& world,
                                                 Network& network);
  ~PeerProxy();

  // The traffic of each daemon since the last call of ResetTraffic().
  const std::vector<PeerTraffic>& traffic() const;
  void ResetTraffic();

 private:
  class Impl;
  explicit PeerProxy(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace gcw::lab

#endif  // SRC_LAB_PEER_PROXY_H_
