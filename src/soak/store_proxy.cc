#include "src/soak/store_proxy.h"

#include <fmt/format.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <utility>
#include <vector>

#include "src/lab/stream_tunnel.h"

namespace gcw::soak {
namespace {

constexpr int kBacklog = 128;

}  // namespace

class StoreProxy::Impl {
 public:
  Impl(lab::EventLoop& loop, const Endpoint& store)
      : loop_(loop), store_(store) {}

  ~Impl() {
    Reset();
    if (listener_ >= 0) {
      loop_.Unwatch(listener_);
      close(listener_);
    }
  }

  Status Listen(const Endpoint& listen_at) {
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int enable = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof(enable));
    const sockaddr_in address = listen_at.ToSockaddr();
    if (bind(listener_, reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) != 0 ||
        listen(listener_, kBacklog) != 0) {
      return Error{ResultCode::kBindFailed, "",
                   fmt::format("cannot listen on {}", ToString(listen_at))};
    }
    loop_.Watch(listener_, EPOLLIN, [this](std::uint32_t) { Accept(); });
    return OkStatus();
  }

  void set_silent(bool silent) { silent_ = silent; }
  void set_delay(absl::Duration delay) { delay_ = delay; }
  void SilenceOpen() { silent_before_ = accepted_; }

  void Reset() {
    for (const auto& tunnel : std::exchange(tunnels_, {})) {
      tunnel->Close();
    }
  }

 private:
  void Accept() {
    const int daemon_fd =
        accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (daemon_fd < 0) {
      return;
    }
    const int store_fd =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const sockaddr_in address = store_.ToSockaddr();
    // The connection is established asynchronously; if it fails, the tunnel
    // fails at its first write.
    (void)connect(store_fd, reinterpret_cast<const sockaddr*>(&address),
                  sizeof(address));
    std::erase_if(tunnels_,
                  [](const auto& tunnel) { return tunnel->closed(); });
    tunnels_.push_back(lab::StreamTunnel::Start(
        loop_, daemon_fd, store_fd,
        {.on_bytes = [](bool, std::size_t) {},
         .delay = [this] { return delay_; },
         .is_cut =
             [this, number = accepted_++] {
               return silent_ || number < silent_before_;
             }}));
  }

  lab::EventLoop& loop_;
  const Endpoint store_;
  int listener_ = -1;
  bool silent_ = false;
  int accepted_ = 0;  // Connections so far.
  // Connections with a lower number are silent for good.
  int silent_before_ = 0;
  absl::Duration delay_;
  std::vector<std::shared_ptr<lab::StreamTunnel>> tunnels_;
};

Result<std::unique_ptr<StoreProxy>> StoreProxy::Make(lab::EventLoop& loop,
                                                     const Endpoint& listen,
                                                     const Endpoint& store) {
  auto impl = std::make_unique<Impl>(loop, store);
  const Status listening = impl->Listen(listen);
  if (!listening.ok()) {
    return listening.error();
  }
  return std::unique_ptr<StoreProxy>(new StoreProxy(std::move(impl)));
}

StoreProxy::StoreProxy(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
StoreProxy::~StoreProxy() = default;

void StoreProxy::set_silent(bool silent) {
  impl_->set_silent(silent);
}
void StoreProxy::SilenceOpen() {
  impl_->SilenceOpen();
}
void StoreProxy::set_delay(absl::Duration delay) {
  impl_->set_delay(delay);
}
void StoreProxy::Reset() {
  impl_->Reset();
}

}  // namespace gcw::soak
