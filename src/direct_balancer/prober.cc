#include "src/direct_balancer/prober.h"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"

namespace gcw::direct_balancer {

using direct::ProbeOutcome;

class Prober::Impl {
 public:
  Impl(kernel::EventLoop& loop, std::uint32_t source_ip, DoneCallback done)
      : loop_(loop), source_ip_(source_ip), done_(std::move(done)) {}

  ~Impl() {
    for (const auto& [fd, attempt] : attempts_) {
      loop_.Unwatch(fd);
      close(fd);
    }
  }

  void Start(const direct::ProbeRequest& probe, absl::Time now) {
    const int fd =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const sockaddr_in source = Endpoint{source_ip_, 0}.ToSockaddr();
    if (fd < 0 || bind(fd, reinterpret_cast<const sockaddr*>(&source),
                       sizeof(source)) != 0) {
      // No free local descriptor or port: says nothing about the server.
      if (fd >= 0) {
        close(fd);
      }
      done_(probe.id, ProbeOutcome::kAccepted);
      return;
    }
    const sockaddr_in target = probe.address.ToSockaddr();
    const int connected =
        connect(fd, reinterpret_cast<const sockaddr*>(&target), sizeof(target));
    if (connected == 0 || errno != EINPROGRESS) {
      const bool accepted = connected == 0;
      close(fd);
      done_(probe.id,
            accepted ? ProbeOutcome::kAccepted : ProbeOutcome::kRefused);
      return;
    }
    attempts_[fd] = {probe.id, now + probe.timeout};
    if (!loop_.WatchWritable(fd, [this, fd] { OnConnected(fd); }).ok()) {
      Finish(fd, ProbeOutcome::kAccepted);
    }
  }

  void OnTick(absl::Time now) {
    std::vector<int> expired;
    for (const auto& [fd, attempt] : attempts_) {
      if (now >= attempt.deadline) {
        expired.push_back(fd);
      }
    }
    for (const int fd : expired) {
      Finish(fd, ProbeOutcome::kTimedOut);
    }
  }

 private:
  struct Attempt {
    std::uint32_t id = 0;  // ProbeRequest::id.
    absl::Time deadline;
  };

  // The connection attempt of `fd` succeeded or failed.
  void OnConnected(int fd) {
    int error = 0;
    socklen_t length = sizeof(error);
    getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &length);
    if (error == 0) {
      Finish(fd, ProbeOutcome::kAccepted);
    } else {
      Finish(fd, error == ECONNREFUSED || error == ECONNRESET
                     ? ProbeOutcome::kRefused
                     : ProbeOutcome::kTimedOut);
    }
  }

  // Closes `fd` and reports the outcome of its probe.
  void Finish(int fd, ProbeOutcome outcome) {
    const std::uint32_t id = attempts_[fd].id;
    attempts_.erase(fd);
    loop_.Unwatch(fd);
    close(fd);
    done_(id, outcome);
  }

  kernel::EventLoop& loop_;
  const std::uint32_t source_ip_;
  const DoneCallback done_;
  // The running connection attempts by socket descriptor.
  absl::flat_hash_map<int, Attempt> attempts_;
};

Prober::Prober(kernel::EventLoop& loop,
               std::uint32_t source_ip,
               DoneCallback done)
    : impl_(std::make_unique<Impl>(loop, source_ip, std::move(done))) {}
Prober::~Prober() = default;

void Prober::Start(const direct::ProbeRequest& probe, absl::Time now) {
  impl_->Start(probe, now);
}
void Prober::OnTick(absl::Time now) {
  impl_->OnTick(now);
}

}  // namespace gcw::direct_balancer
