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

// Copies the bytes of two TCP sockets in both directions, each after a delay.
// While the link is partitioned, bytes and ends of stream are held back. The
// tunnel closes both sockets once both directions have ended or one socket
// fails. Not thread-safe.
class StreamTunnel : public std::enable_shared_from_this<StreamTunnel> {
 public:
  // Callbacks of the tunnel; all must be set.
  struct Hooks {
    // Called with the number of bytes read from the first socket (if
    // `from_first`) or the second.
    std::function<void(bool from_first, std::size_t bytes)> on_bytes;
    // Returns the delay of the bytes read last.
    std::function<absl::Duration()> delay;
    // Whether the link is partitioned now.
    std::function<bool()> is_cut;
  };

  // Takes ownership of the open, non-blocking descriptors `first` and `second`;
  // `second` may still be connecting. `loop` must outlive the tunnel.
  static std::shared_ptr<StreamTunnel> Start(EventLoop& loop,
                                             int first,
                                             int second,
                                             Hooks hooks);
  ~StreamTunnel();

  bool closed() const { return closed_; }
  // Closes both sockets and drops buffered bytes; does nothing if already
  // closed.
  void Close();

 private:
  // Bytes on their way from one socket to the other.
  struct Direction {
    int from = -1;
    int to = -1;
    std::deque<Bytes> buffered;  // An empty entry is the end of stream.
    std::size_t buffered_bytes = 0;
    absl::Time last_delivery_time = absl::InfinitePast();
    bool read_eof = false;
    bool wrote_eof = false;
  };

  StreamTunnel(EventLoop& loop, int first, int second, Hooks hooks);
  void Watch(std::size_t index);
  void Read(std::size_t index);
  void ScheduleDelivery(std::size_t index, Bytes bytes);
  void Deliver(std::size_t index);
  // Writes the first buffered entry of `direction` to its target socket.
  // Returns false if the rest of the entry has to be written later, or if the
  // tunnel closed.
  bool WriteFront(Direction& direction);
  void CloseIfDone();

  EventLoop& loop_;
  Hooks hooks_;
  std::array<Direction, 2> directions_;
  bool closed_ = false;
};

}  // namespace gcw::lab

#endif  // SRC_LAB_STREAM_TUNNEL_H_
