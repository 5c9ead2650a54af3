#ifndef SRC_LAB_STREAM_TUNNEL_H_
#define SRC_LAB_STREAM_TUNNEL_H_

#include <array>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>

#include "absl/time/time.h"
#include "src/lab/event_loop.h"
#include "src/lab/udp_port.h"

namespace gcw::lab {

// Two TCP sockets whose bytes are carried from one to the other after a delay.
// While the link is cut, bytes and ends wait. Lives until both ends closed or
// one failed. Not thread-safe.
class StreamTunnel : public std::enable_shared_from_this<StreamTunnel> {
 public:
  struct Hooks {
    // Bytes of end 0 (true) or end 1 are on their way.
    std::function<void(bool from_first, std::size_t bytes)> on_bytes;
    std::function<absl::Duration()> delay;
    std::function<bool()> is_cut;
  };

  // Takes over both open, non-blocking descriptors; `second` may still be
  // connecting. `loop` must outlive the tunnel.
  static std::shared_ptr<StreamTunnel> Start(EventLoop& loop,
                                             int first,
                                             int second,
                                             Hooks hooks);
  ~StreamTunnel();

  bool closed() const { return closed_; }
  void Close();

 private:
  struct Direction {
    int from = -1;
    int to = -1;
    std::deque<Bytes> waiting;  // An empty one stands for the end.
    std::size_t waiting_bytes = 0;
    absl::Time last_due = absl::InfinitePast();
    bool read_end = false;
    bool wrote_end = false;
  };

  StreamTunnel(EventLoop& loop, int first, int second, Hooks hooks);
  void Watch(std::size_t index);
  void Read(std::size_t index);
  void ScheduleDelivery(std::size_t index, Bytes bytes);
  void Deliver(std::size_t index);
  bool WriteFront(Direction& direction);
  void CloseIfDone();

  EventLoop& loop_;
  Hooks hooks_;
  std::array<Direction, 2> directions_;
  bool closed_ = false;
};

}  // namespace gcw::lab

#endif  // SRC_LAB_STREAM_TUNNEL_H_
