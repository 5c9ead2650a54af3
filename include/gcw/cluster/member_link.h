#ifndef GCW_CLUSTER_MEMBER_LINK_H_
#define GCW_CLUSTER_MEMBER_LINK_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "gcw/auth/signer.h"
#include "gcw/base/result.h"
#include "gcw/control/control_transport.h"
#include "gcw/kernel/event_loop.h"
#include "gcw/membership/membership.h"

namespace gcw::cluster {

struct MemberLinkOptions {
  // The port of `membership.advertise` is the UDP port of the membership
  // socket.
  membership::Options membership;
  std::uint32_t bind_ip = 0;  // The local address of both ports.
  // The TCP port of the control transport. Must be the same on all daemons,
  // because their control addresses are derived from it.
  std::uint16_t control_port = 0;
  // Addresses of other members to contact first.
  std::vector<membership::Seed> seeds;
  // Whether Make() succeeds although the ports cannot be opened for now, for
  // example because another process holds one. OnTick() then tries again, and
  // until it succeeds this member is alone: members() is empty and Send() finds
  // nobody.
  bool may_open_later = false;
};

// Counters since the creation of the link, for metrics and status.
struct MemberLinkStats {
  std::uint64_t bytes_sent = 0;  // From both ports.
  // Messages received on either port that were refused because they had a wrong
  // signature, were replayed or were malformed.
  std::uint64_t refused_messages = 0;
  control::AcceptStats accepts;  // Of the control transport.
};

// Connects a daemon to the other members of the fleet: tracks which members
// exist and exchanges messages with them by member name. Owns the membership
// socket and the control transport. Not thread-safe: used on the thread of its
// event loop, on which all handlers run too.
class MemberLink {
 public:
  struct Handlers {
    // Members have changed as the events say; members() has the new state.
    std::function<void(std::span<const membership::MemberEvent>)>
        on_members_changed;
    // A verified control message from the known member `from` was received.
    std::function<void(const std::string& from,
                       const control::ReceivedMessage& message)>
        on_message;
    // A membership message from `from` was refused with `error`; `refused` is
    // the number of membership messages refused so far.
    std::function<
        void(const Endpoint& from, const Error& error, std::uint64_t refused)>
        on_message_refused;
    // A control connection to the member at `peer` ended or stalled, `idle`
    // after the last byte on it. May be null. Runs on another thread than the
    // other handlers.
    std::function<void(const Endpoint& peer, absl::Duration idle)>
        on_connection_lost;
    // The ports could not be opened in `attempts` attempts, the last of which
    // failed with `error`. May be null. Also runs within Make().
    std::function<void(const Error& error, std::uint64_t attempts)>
        on_open_delayed;
    // The bound on accepted control connections took effect; see
    // control::Options. May be null. Runs on another thread than the other
    // handlers.
    std::function<void(const Endpoint& listen,
                       const control::AcceptStats& stats)>
        on_bound_reached;
  };

  // Opens both ports and starts the thread of the control transport. Fails with
  // kBindFailed if a port cannot be opened, with kInvalidField for invalid
  // options, and with kInternal if the process is out of file descriptors or
  // threads.
  // `random_seed` seeds the random choices of the membership. `loop` must
  // outlive the link.
  static Result<std::unique_ptr<MemberLink>> Make(
      const MemberLinkOptions& options,
      std::shared_ptr<auth::Signer> signer,
      std::uint64_t random_seed,
      kernel::EventLoop& loop,
      Handlers handlers);
  ~MemberLink();
  MemberLink(const MemberLink&) = delete;
  MemberLink& operator=(const MemberLink&) = delete;

  // Opens the ports if they are not open yet, and runs the timers of the
  // membership. `now` is monotonic time. Call about
  // every 50 ms.
  void OnTick(absl::Time now);

  // All known members except this one, in order of name.
  std::vector<membership::Member> members() const;
  // This member.
  membership::Member self() const;
  // The number of members that are alive or suspected, except this one.
  std::size_t live_count() const;

  // Sets further addresses to contact, in addition to the seeds of the options.
  void SetSeeds(std::span<const membership::Seed> seeds);
  // Sets the configuration revision that membership messages announce from now
  // on.
  void SetRevision(std::uint64_t revision);

  // Announces that this daemon finishes its current work and accepts no new
  // work. Idempotent.
  void BeginLeave(absl::Time now);
  // Announces that this daemon has left. OnTick() must still be called for
  // about a second afterwards, so that the announcement spreads.
  void Leave(absl::Time now);

  // Queues a message to the member `name`. Fails with kUnknownMember if there
  // is no such member, else like ControlTransport::Send().
  Status Send(std::string_view name,
              control::MessageType type,
              std::span<const std::uint8_t> bytes,
              control::OverflowPolicy overflow);

  MemberLinkStats stats() const;

 private:
  class Impl;
  explicit MemberLink(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace gcw::cluster

#endif  // GCW_CLUSTER_MEMBER_LINK_H_
