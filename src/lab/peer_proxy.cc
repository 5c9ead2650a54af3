#include "src/lab/peer_proxy.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <map>
#include <utility>

#include "src/lab/stream_tunnel.h"
#include "src/lab/udp_port.h"

namespace gcw::lab {
namespace {

// Ports on which daemons receive from other daemons: kControlPort by TCP, the
// other ports by UDP.
constexpr std::uint16_t kRelayPort = 7002;
constexpr std::uint16_t kPeerPort = 7004;
constexpr std::uint16_t kMembershipPort = 7005;
constexpr std::uint16_t kControlPort = 7006;
constexpr std::array kDatagramPorts{kRelayPort, kPeerPort, kMembershipPort};
constexpr int kListenBacklog = 64;

// Returns a non-blocking TCP socket bound to `local`, or -1.
int OpenStreamSocket(const Endpoint& local) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = local.ToSockaddr();
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) !=
      0) {
    close(fd);
    return -1;
  }
  return fd;
}

}  // namespace

class PeerProxy::Impl {
 public:
  Impl(EventLoop& loop, const World& world, Network& network)
      : loop_(loop),
        world_(world),
        network_(network),
        traffic_(world.topology().daemons.size()) {}

  ~Impl() {
    for (const int fd : listeners_) {
      loop_.Unwatch(fd);
      close(fd);
    }
  }

  Status Open() {
    for (DaemonIndex i = 0; i < traffic_.size(); ++i) {
      for (const std::uint16_t port : kDatagramPorts) {
        Status opened = OpenDatagrams(i, port);
        if (!opened.ok()) {
          return opened;
        }
      }
      Status opened = Listen(i);
      if (!opened.ok()) {
        return opened;
      }
    }
    return OkStatus();
  }

  Status OpenDatagrams(DaemonIndex receiver, std::uint16_t port) {
    auto opened = UdpPort::Make(
        loop_, {Info(receiver).advertise, port},
        [this, receiver, port](std::span<const std::uint8_t> bytes,
                               const Endpoint& from) {
          OnDatagram(receiver, port, bytes, from);
        });
    if (!opened.ok()) {
      return opened.error();
    }
    ports_[{receiver, port}] = std::move(opened).value();
    return OkStatus();
  }

  void OnDatagram(DaemonIndex receiver,
                  std::uint16_t port,
                  std::span<const std::uint8_t> bytes,
                  const Endpoint& from) {
    const DaemonIndex sender = world_.topology().FindDaemonByBind(from.ip);
    if (sender == traffic_.size()) {
      return;
    }
    if (port == kMembershipPort) {
      traffic_[sender].control_sent += bytes.size();
      traffic_[receiver].control_received += bytes.size();
    } else {
      traffic_[sender].relayed_sent += bytes.size();
    }
    network_.Carry(
        LinkKind::kPeers, Info(sender).zone, Info(receiver).zone,
        [this, sender, receiver, port,
         copy = Bytes(bytes.begin(), bytes.end())] {
          // Uses the proxy's socket of the sender, so that the receiver sees
          // the sender's advertised address as the source.
          ports_[{sender, port}]->Send(copy, {Info(receiver).bind, port});
        });
  }

  Status Listen(DaemonIndex receiver) {
    const Endpoint local{Info(receiver).advertise, kControlPort};
    const int fd = OpenStreamSocket(local);
    if (fd < 0 || listen(fd, kListenBacklog) != 0) {
      return Error{ResultCode::kBindFailed, "",
                   "cannot bind TCP " + ToString(local)};
    }
    listeners_.push_back(fd);
    loop_.Watch(fd, EPOLLIN,
                [this, fd, receiver](std::uint32_t) { Accept(fd, receiver); });
    return OkStatus();
  }

  void Accept(int listener, DaemonIndex receiver) {
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    const int fd = accept4(listener, reinterpret_cast<sockaddr*>(&address),
                           &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
      return;
    }
    const DaemonIndex sender =
        world_.topology().FindDaemonByBind(Endpoint::FromSockaddr(address).ip);
    const int upstream_fd =
        sender == traffic_.size() ? -1 : Connect(sender, receiver);
    if (upstream_fd < 0) {
      close(fd);
      return;
    }
    std::erase_if(tunnels_, [](const auto& t) { return t->closed(); });
    tunnels_.push_back(StreamTunnel::Start(loop_, fd, upstream_fd,
                                           MakeHooks(sender, receiver)));
  }

  // Starts a connection to `receiver` from the advertised address of `sender`.
  // Returns the descriptor of the socket, or -1 if the connection cannot be
  // started.
  int Connect(DaemonIndex sender, DaemonIndex receiver) {
    const int fd = OpenStreamSocket({Info(sender).advertise, 0});
    const sockaddr_in address =
        Endpoint{Info(receiver).bind, kControlPort}.ToSockaddr();
    if (fd >= 0) {
      // The socket is non-blocking: the connection continues in the background,
      // and a failure is reported by the first read.
      (void)connect(fd, reinterpret_cast<const sockaddr*>(&address),
                    sizeof(address));
    }
    return fd;
  }

  StreamTunnel::Hooks MakeHooks(DaemonIndex sender, DaemonIndex receiver) {
    const ZoneIndex from = Info(sender).zone;
    const ZoneIndex to = Info(receiver).zone;
    StreamTunnel::Hooks hooks;
    hooks.on_bytes = [this, sender, receiver](bool from_first,
                                              std::size_t bytes) {
      traffic_[from_first ? sender : receiver].control_sent += bytes;
      traffic_[from_first ? receiver : sender].control_received += bytes;
    };
    hooks.delay = [this, from, to] {
      return network_.StreamDelay(LinkKind::kControl, from, to);
    };
    hooks.is_cut = [this, from, to] { return !world_.Connected(from, to); };
    return hooks;
  }

  const DaemonInfo& Info(DaemonIndex i) const {
    return world_.topology().daemons[i];
  }

  EventLoop& loop_;
  const World& world_;
  Network& network_;
  std::vector<PeerTraffic> traffic_;
  std::map<std::pair<DaemonIndex, std::uint16_t>, std::unique_ptr<UdpPort>>
      ports_;
  std::vector<int> listeners_;
  std::vector<std::shared_ptr<StreamTunnel>> tunnels_;
};

PeerProxy::PeerProxy(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
PeerProxy::~PeerProxy() = default;

Result<std::unique_ptr<PeerProxy>> PeerProxy::Make(EventLoop& loop,
                                                   const World& world,
                                                   Network& network) {
  auto impl = std::make_unique<Impl>(loop, world, network);
  const Status opened = impl->Open();
  if (!opened.ok()) {
    return opened.error();
  }
  return std::unique_ptr<PeerProxy>(new PeerProxy(std::move(impl)));
}

const std::vector<PeerTraffic>& PeerProxy::traffic() const {
  return impl_->traffic_;
}

void PeerProxy::ResetTraffic() {
  std::fill(impl_->traffic_.begin(), impl_->traffic_.end(), PeerTraffic());
}

}  // namespace gcw::lab
