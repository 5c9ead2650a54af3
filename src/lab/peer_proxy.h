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

// Bytes that one daemon exchanged with its peers.
struct PeerTraffic {
  std::uint64_t control_sent = 0;  // Membership datagrams and streams.
  std::uint64_t control_received = 0;
  std::uint64_t relayed_sent = 0;  // Flow packets and requests.
};

// Stands at the advertised address of every daemon and carries what peers send
// there, with the faults of the links between them. A daemon is known by the
// address that it binds. Not thread-safe.
class PeerProxy {
 public:
  // All must outlive the proxy. Fails with kBindFailed.
  static Result<std::unique_ptr<PeerProxy>> Make(EventLoop& loop,
                                                 const World& world,
                                                 Network& network);
  ~PeerProxy();

  // By daemon, since the last call of ResetTraffic.
  const std::vector<PeerTraffic>& traffic() const;
  void ResetTraffic();

 private:
  class Impl;
  explicit PeerProxy(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace gcw::lab

#endif  // SRC_LAB_PEER_PROXY_H_
