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

// The adapter between a Membership, which knows no sockets, and UDP: signs and
// sends what it wants sent, verifies and hands in what arrives. Owned by one
// thread.
class MemberSocket {
 public:
  // Fails with kBindFailed.
  static gcw::Result<std::unique_ptr<MemberSocket>> Make(
      const gcw::Endpoint& bind,
      std::shared_ptr<gcw::auth::Signer> signer);

  ~MemberSocket();
  MemberSocket(const MemberSocket&) = delete;
  MemberSocket& operator=(const MemberSocket&) = delete;

  // Carries out the messages of `actions`.
  void Send(const gcw::membership::Actions& actions);

  // Waits up to `timeout` for datagrams, hands them to `membership`, sends what
  // it answers and returns its events. Datagrams that do not verify are
  // dropped.
  std::vector<gcw::membership::MemberEvent> Receive(
      gcw::membership::Membership& membership,
      absl::Duration timeout);

  // A clock that does not jump and counts while the process is stopped.
  static absl::Time MonotonicNow();

 private:
  MemberSocket(int fd, std::shared_ptr<gcw::auth::Signer> signer)
      : fd_(fd), signer_(std::move(signer)) {}

  std::vector<gcw::membership::MemberEvent> Handle(
      std::span<const std::uint8_t> datagram,
      const gcw::Endpoint& from,
      gcw::membership::Membership& membership);

  int fd_;
  std::shared_ptr<gcw::auth::Signer> signer_;
  gcw::auth::ReplayWindow window_;
};

#endif  // GCW_EXAMPLES_JOIN_AND_LEASE_MEMBER_SOCKET_H_
