#include "src/soak/server.h"

#include <sys/socket.h>
#include <unistd.h>

#include <string_view>
#include <utility>

namespace gcw::soak {
namespace {

// Time from a request's arrival to its answer.
constexpr absl::Duration kProcessingTime = absl::Milliseconds(15);
// The same while the server is slow: five times as long.
constexpr absl::Duration kSlowProcessingTime = absl::Milliseconds(75);
// Requests that wait for each slot at most, as with the users' servers.
constexpr std::uint32_t kQueuePerSlot = 4;
// The server's initial sequence number in every flow.
constexpr std::uint32_t kInitialSequence = 500'000;
// Own connections that more than fill the queue of a listener with backlog 0.
constexpr int kBacklogFillers = 3;
constexpr int kBacklog = 64;

}  // namespace

void ProbeTarget::Open(int backlog) {
  Close();
  listener_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int enable = 1;
  setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof(enable));
  const sockaddr_in address = address_.ToSockaddr();
  if (bind(listener_, reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(listener_, backlog) != 0) {
    Close();
  }
}

void ProbeTarget::Close() {
  for (const int filler : std::exchange(backlog_fillers_, {})) {
    close(filler);
  }
  if (listener_ >= 0) {
    close(std::exchange(listener_, -1));
  }
}

void ProbeTarget::FillBacklog() {
  const sockaddr_in address = address_.ToSockaddr();
  for (int i = 0; i < kBacklogFillers; ++i) {
    const int fd =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    // The first connections are queued and the last one hangs, which shows that
    // the queue is full.
    (void)connect(fd, reinterpret_cast<const sockaddr*>(&address),
                  sizeof(address));
    backlog_fillers_.push_back(fd);
  }
}

void ProbeTarget::Set(Mode mode) {
  mode_ = mode;
  switch (mode) {
    case Mode::kAccept:
      Open(kBacklog);
      return;
    case Mode::kRefuse:
      Close();
      return;
    case Mode::kSilent:
      Open(0);
      FillBacklog();
      return;
  }
}

void ProbeTarget::AcceptPending() {
  while (mode_ == Mode::kAccept && listener_ >= 0) {
    const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) {
      return;
    }
    close(fd);
  }
}

void Server::Restart() {
  ++incarnation_;
  closing_ = false;
  flows_.clear();
  state_by_request_.clear();
  running_ = 0;
  queue_.clear();
}

void Server::SendReply(const adapter::EndHostPacket& to,
                       adapter::EndHostPacket reply) {
  reply.packet.flow = to.packet.flow;
  reply.packet.cookie = to.packet.cookie;
  reply.to_caller = true;
  send_(reply);
}

void Server::OnPacket(const adapter::EndHostPacket& end) {
  const direct::FlowKey& flow = end.packet.flow;
  if (end.packet.syn) {
    flows_.insert(flow);
    adapter::EndHostPacket reply;
    reply.packet.syn = true;
    reply.packet.sequence = kInitialSequence;
    reply.ack = true;
    SendReply(end, reply);
    return;
  }
  if (end.packet.rst || end.packet.fin) {
    flows_.erase(flow);
    return;
  }
  if (!flows_.contains(flow)) {
    adapter::EndHostPacket reply;
    reply.packet.rst = true;
    reply.packet.sequence = end.packet.acknowledged;
    SendReply(end, reply);
    return;
  }
  if (!end.data.empty()) {
    HandleRequest(end);
  }
}

void Server::HandleRequest(const adapter::EndHostPacket& request) {
  const auto [it, inserted] =
      state_by_request_.try_emplace(request.data, RequestState::kAccepted);
  if (!inserted) {
    SendAnswer(request, it->second);  // The caller may not have received it.
    return;
  }
  if (running_ + queue_.size() >= kSlots * (1 + kQueuePerSlot)) {
    it->second = RequestState::kRejected;
    SendAnswer(request, it->second);
    return;
  }
  on_executed_(request.data);
  queue_.push_back(request);
  RunQueued();
}

void Server::RunQueued() {
  while (running_ < kSlots && !queue_.empty()) {
    ++running_;
    scheduler_.After(
        slow_ ? kSlowProcessingTime : kProcessingTime,
        [this, request = std::move(queue_.front()), life = incarnation_] {
          if (life == incarnation_) {
            --running_;
            state_by_request_[request.data] = RequestState::kAnswered;
            SendAnswer(request, RequestState::kAnswered);
            RunQueued();
          }
        });
    queue_.pop_front();
  }
}

void Server::SendAnswer(const adapter::EndHostPacket& request,
                        RequestState state) {
  if (state == RequestState::kAccepted) {
    return;
  }
  const std::string_view parts = state == RequestState::kAnswered
                                     ? std::string_view("12")
                                     : std::string_view(&kRejectedPart, 1);
  for (const char part : parts) {
    adapter::EndHostPacket reply;
    reply.ack = true;
    reply.packet.sequence = kInitialSequence + 1;
    reply.packet.fin = closing_ && part == '2';
    reply.data = request.data + part;
    SendReply(request, reply);
  }
}

}  // namespace gcw::soak
