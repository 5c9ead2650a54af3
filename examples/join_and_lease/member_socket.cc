#include "examples/join_and_lease/member_socket.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <ctime>
#include <vector>

#include "absl/time/clock.h"

using gcw::Endpoint;
using gcw::auth::Channel;
using gcw::membership::MemberEvent;
using gcw::membership::Membership;

gcw::Result<std::unique_ptr<MemberSocket>> MemberSocket::Make(
    const Endpoint& address,
    std::shared_ptr<gcw::auth::Signer> signer) {
  const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in raw = address.ToSockaddr();
  if (fd < 0 ||
      bind(fd, reinterpret_cast<const sockaddr*>(&raw), sizeof(raw)) != 0) {
    if (fd >= 0) {
      close(fd);
    }
    return gcw::Error{gcw::ResultCode::kBindFailed, "bind",
                      gcw::ToString(address)};
  }
  return std::unique_ptr<MemberSocket>(new MemberSocket(fd, std::move(signer)));
}

MemberSocket::~MemberSocket() {
  close(fd_);
}

void MemberSocket::Send(const gcw::membership::Actions& actions) {
  for (const auto& out : actions.messages) {
    const std::vector<std::uint8_t> datagram =
        signer_->Sign(Channel::kMembership,
                      gcw::membership::Encode(out.message), absl::Now());
    const sockaddr_in to = out.to.ToSockaddr();
    // A send error has the same effect as a lost datagram, which the membership
    // tolerates by probing again, so the result is ignored.
    (void)sendto(fd_, datagram.data(), datagram.size(), 0,
                 reinterpret_cast<const sockaddr*>(&to), sizeof(to));
  }
}

std::vector<MemberEvent> MemberSocket::Receive(Membership& membership,
                                               absl::Duration timeout) {
  pollfd poll_fd = {fd_, POLLIN, 0};
  poll(&poll_fd, 1, static_cast<int>(absl::ToInt64Milliseconds(timeout)));
  std::vector<MemberEvent> events;
  std::array<std::uint8_t, 2048> buffer;
  while (true) {
    sockaddr_in from{};
    socklen_t length = sizeof(from);
    const ssize_t bytes_received =
        recvfrom(fd_, buffer.data(), buffer.size(), 0,
                 reinterpret_cast<sockaddr*>(&from), &length);
    if (bytes_received <= 0) {
      return events;
    }
    for (MemberEvent& event : Handle(
             std::span(buffer).first(static_cast<std::size_t>(bytes_received)),
             Endpoint::FromSockaddr(from), membership)) {
      events.push_back(std::move(event));
    }
  }
}

std::vector<MemberEvent> MemberSocket::Handle(
    std::span<const std::uint8_t> datagram,
    const Endpoint& from,
    Membership& membership) {
  const auto verified = signer_->Verify(Channel::kMembership, datagram);
  if (!verified.ok() || !window_.Accept(verified.value(), absl::Now()).ok()) {
    return {};
  }
  const auto message = gcw::membership::Decode(verified.value().payload);
  // The message must name the member that signed it as its sender.
  if (!message.ok() || gcw::auth::SenderIdOf(message.value().sender.name) !=
                           verified.value().sender) {
    return {};
  }
  gcw::membership::Actions actions =
      membership.OnMessage(from, message.value(), MonotonicNow());
  Send(actions);
  return std::move(actions.events);
}

absl::Time MemberSocket::MonotonicNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return absl::TimeFromTimespec(now);
}
