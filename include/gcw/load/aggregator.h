#ifndef GCW_LOAD_AGGREGATOR_H_
#define GCW_LOAD_AGGREGATOR_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "gcw/base/result.h"
#include "gcw/load/figures.h"
#include "gcw/load/message.h"

namespace gcw::load {

// Options of an Aggregator.
struct Options {
  std::string name;  // The member name of this daemon.
  std::string zone;  // The availability zone of this daemon.
  // Number of children of each daemon in a tree.
  std::size_t fanout = 4;
  // Interval between the rounds of a tree. The rounds of the two trees are half
  // an interval apart.
  absl::Duration interval = absl::Milliseconds(500);
  // Every how many rounds messages include the figures of single servers.
  std::uint32_t server_rounds = 4;
  // Figures older than this are left out.
  absl::Duration max_age = kMaxFiguresAge;
};

// A live daemon of the fleet.
struct Peer {
  std::string name;
  std::string zone;

  bool operator==(const Peer&) const = default;
};

// A message to be encoded, signed and sent as one datagram.
struct OutgoingMessage {
  std::string to;  // A Peer::name.
  Message message;
};

// Sums the load of all daemons of a fleet, so that each daemon knows the load
// of the whole fleet at a cost that does not grow with the fleet. The daemons
// of a zone form two trees over the sorted list of their names, one in
// ascending and one in descending order, so that a daemon that fails in one
// tree is mostly a leaf of the other one. In rounds that the roots start,
// partial sums pass up the trees, the roots of the zones exchange their sums,
// and the total passes down again. All figures are soft state with an age;
// nothing is stored or agreed upon.
//
// Has no I/O. Not thread-safe. `now` must come from a monotonic clock.
class Aggregator {
 public:
  // Fails with kInvalidField if the name or zone is empty, or if another option
  // is not positive.
  static Result<std::unique_ptr<Aggregator>> Make(const Options& options);
  ~Aggregator();
  Aggregator(const Aggregator&) = delete;
  Aggregator& operator=(const Aggregator&) = delete;

  // Replaces the list of live daemons; this daemon may be absent from `peers`.
  void SetPeers(std::span<const Peer> peers, absl::Time now);

  // Replaces this daemon's own figures, as measured at `now`. They count as one
  // daemon's, whatever Figures::daemons is.
  void SetOwn(Figures figures, absl::Time now);

  // Handles a message from the live daemon `from`, and returns the messages to
  // pass on. Messages from unknown daemons, and from daemons that are neither
  // parent nor child nor the root of another zone, are ignored and counted.
  std::vector<OutgoingMessage> OnMessage(std::string_view from,
                                         const Message& message,
                                         absl::Time now);

  // Returns the messages that are due. Call this about every 50 ms.
  std::vector<OutgoingMessage> OnTick(absl::Time now);

  // The load of the fleet, without zones whose figures are older than
  // Options::max_age. Of the two trees, the one that includes more daemons
  // counts, or the one with newer figures. Without any, this daemon's own
  // figures.
  FleetFigures Total(absl::Time now) const;

  // The number of messages that OnMessage() has ignored since the start.
  std::uint64_t ignored_messages() const;

 private:
  class Impl;
  explicit Aggregator(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace gcw::load

#endif  // GCW_LOAD_AGGREGATOR_H_
