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
  membership::Options membership;  // `advertise` holds the membership port.
  std::uint32_t bind_ip = 0;
  std::uint16_t control_port = 0;  // The same on all daemons.
  std::vector<membership::Seed> seeds;
};

// Numbers for metrics and status.
struct MemberLinkStats {
  std::uint64_t bytes_sent = 0;
  std::uint64_t refused_messages = 0;  // Messages that failed verification.
};

// A daemon's tie to the others: who is there, and messages to and from them by
// name. Owns the membership socket and the control transport. Belongs to the
// thread of its event loop, on which all handlers are called.
class MemberLink {
 public:
  struct Handlers {
    // Something about members changed; read members().
    std::function<void(std::span<const membership::MemberEvent>)>
        on_members_changed;
    // A verified message of a known member.
    std::function<void(const std::string& from,
                       const control::ReceivedMessage& message)>
        on_message;
    // A message that was refused, and how many were so far.
    std::function<
        void(const Endpoint& from, const Error& error, std::uint64_t refused)>
        on_message_refused;
  };

  // Opens both ports. Fails with kBindFailed, or kInvalidField for wrong
  // options. `loop` must outlive the link.
  static Result<std::unique_ptr<MemberLink>> Make(
      const MemberLinkOptions& options,
      std::shared_ptr<auth::Signer> signer,
      std::uint64_t random_seed,
      kernel::EventLoop& loop,
      Handlers handlers);
  ~MemberLink();
  MemberLink(const MemberLink&) = delete;
  MemberLink& operator=(const MemberLink&) = delete;

  // Call every 50 ms or so.
  void OnTick(absl::Time now);

  // All known members but this one, in order of name.
  std::vector<membership::Member> members() const;
  membership::Member self() const;
  std::size_t live_count() const;

  // Places where members may be found, beside those of the options.
  void SetSeeds(std::span<const membership::Seed> seeds);
  // The revision that messages carry from now on.
  void SetRevision(std::uint64_t revision);

  // Tells members that this daemon takes nothing new. Idempotent.
  void BeginLeave(absl::Time now);
  // Tells members that this daemon is gone.
  void Leave(absl::Time now);

  // Queues a message to the member `name`. Fails with kUnknownMember, or as
  // ControlTransport::Send does.
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
