#ifndef GCW_EXAMPLES_JOIN_AND_LEASE_MEMBER_SOCKET_H_
#define GCW_EXAMPLES_JOIN_AND_LEASE_MEMBER_SOCKET_H_

#include <cstdint>
#include <memory>
#include <span>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "gcw/auth/replay_window.h"
#include "gcw/auth/signer.h"
#include "gcw/base/endpoint.h"
#include "gcw/base/result.h"
#include "gcw/membership/membership.h"

// Connects a Membership, which does no I/O itself, to UDP: signs and sends its
// messages, and verifies received messages before passing them to it. Not
// thread-safe.
class MemberSocket {
 public:
  // Opens a UDP socket on `bind`. `signer` signs and verifies the datagrams.
  // Fails with kBindFailed.
  static gcw::Result<std::unique_ptr<MemberSocket>> Make(
      const gcw::Endpoint& bind,
      std::shared_ptr<gcw::auth::Signer> signer);

  ~MemberSocket();
  MemberSocket(const MemberSocket&) = delete;
  MemberSocket& operator=(const MemberSocket&) = delete;

  // Signs and sends the messages of `actions`. A datagram that cannot be sent
  // is dropped.
  void Send(const gcw::membership::Actions& actions);

  // Waits up to `timeout` for datagrams, passes each to `membership`, sends its
  // answers and returns its events. Drops datagrams with an invalid signature,
  // replayed ones and malformed ones.
  std::vector<gcw::membership::MemberEvent> Receive(
      gcw::membership::Membership& membership,
      absl::Duration timeout);

  // A monotonic clock that also advances while the machine is suspended.
  static absl::Time MonotonicNow();

 private:
  MemberSocket(int fd, std::shared_ptr<gcw::auth::Signer> signer)
      : fd_(fd), signer_(std::move(signer)) {}

  // Verifies one received datagram, passes it to `membership`, sends the
  // answers and returns the events.
  std::vector<gcw::membership::MemberEvent> Handle(
      std::span<const std::uint8_t> datagram,
      const gcw::Endpoint& from,
      gcw::membership::Membership& membership);

  int fd_;
  std::shared_ptr<gcw::auth::Signer> signer_;
  gcw::auth::ReplayWindow window_;
};

#endif  // GCW_EXAMPLES_JOIN_AND_LEASE_MEMBER_SOCKET_H_
