#include "src/soak/server.h"

#include <sys/socket.h>
#include <unistd.h>

#include <utility>

namespace gcw::soak {
namespace {

constexpr absl::Duration kWork = absl::Milliseconds(15);
constexpr std::uint32_t kOwnSequence = 500'000;
constexpr int kFillers = 3;
constexpr int kUsualBacklog = 64;

}  // namespace

void ProbeTarget::Open(int backlog) {
  Close();
  listener_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = address_.ToSockaddr();
  if (bind(listener_, reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(listener_, backlog) != 0) {
    Close();
  }
}

void ProbeTarget::Close() {
  for (const int filler : std::exchange(fillers_, {})) {
    close(filler);
  }
  if (listener_ >= 0) {
    close(std::exchange(listener_, -1));
  }
}

void ProbeTarget::Fill() {
  const sockaddr_in address = address_.ToSockaddr();
  for (int i = 0; i < kFillers; ++i) {
    const int fd =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    // The first ones are queued, the last one hangs: the queue is full.
    (void)connect(fd, reinterpret_cast<const sockaddr*>(&address),
                  sizeof(address));
    fillers_.push_back(fd);
  }
}

void ProbeTarget::Set(Mode mode) {
  mode_ = mode;
  switch (mode) {
    case Mode::kAccept:
      Open(kUsualBacklog);
      return;
    case Mode::kRefuse:
      Close();
      return;
    case Mode::kSilent:
      Open(0);
      Fill();
      return;
  }
}

void ProbeTarget::Serve() {
  while (mode_ == Mode::kAccept && listener_ >= 0) {
    const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) {
      return;
    }
    close(fd);
  }
}

void Server::Restart() {
  ++life_;
  closing_ = false;
  flows_.clear();
  requests_.clear();
}

void Server::Reply(const adapter::EndHostPacket& to,
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
    reply.packet.sequence = kOwnSequence;
    reply.ack = true;
    Reply(end, reply);
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
    Reply(end, reply);
    return;
  }
  if (!end.data.empty()) {
    Answer(end);
  }
}

void Server::Answer(const adapter::EndHostPacket& request) {
  const auto [it, fresh] = requests_.try_emplace(request.data, false);
  if (!fresh) {
    if (it->second) {
      SendAnswer(request);  // The answer was lost.
    }
    return;
  }
  ran_(request.data);
  scheduler_.After(kWork, [this, request, life = life_] {
    if (life == life_) {
      requests_[request.data] = true;
      SendAnswer(request);
    }
  });
}

void Server::SendAnswer(const adapter::EndHostPacket& request) {
  for (const char* part : {"1", "2"}) {
    adapter::EndHostPacket reply;
    reply.ack = true;
    reply.packet.sequence = kOwnSequence + 1;
    reply.packet.fin = closing_ && *part == '2';
    reply.data = request.data + part;
    Reply(request, reply);
  }
}

}  // namespace gcw::soak
