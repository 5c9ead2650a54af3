#include "src/lab/stream_tunnel.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace gcw::lab {
namespace {

constexpr std::size_t kReadBytes = 16384;
// A socket is not read while more than this number of bytes read from the
// socket is buffered.
constexpr std::size_t kMaxBufferedBytes = std::size_t{512} * 1024;
// Interval of attempts to write to a socket whose send buffer is full or that
// is still connecting.
constexpr absl::Duration kWriteRetryInterval = absl::Milliseconds(5);
// Interval of checks whether a partition has ended.
constexpr absl::Duration kPartitionRetryInterval = absl::Milliseconds(50);

}  // namespace

std::shared_ptr<StreamTunnel> StreamTunnel::Start(EventLoop& loop,
                                                  int first,
                                                  int second,
                                                  Hooks hooks) {
  std::shared_ptr<StreamTunnel> tunnel(
      new StreamTunnel(loop, first, second, std::move(hooks)));
  tunnel->Watch(0);
  tunnel->Watch(1);
  return tunnel;
}

StreamTunnel::StreamTunnel(EventLoop& loop, int first, int second, Hooks hooks)
    : loop_(loop), hooks_(std::move(hooks)) {
  directions_[0].from = directions_[1].to = first;
  directions_[1].from = directions_[0].to = second;
}

StreamTunnel::~StreamTunnel() {
  Close();
}

void StreamTunnel::Close() {
  if (closed_) {
    return;
  }
  closed_ = true;
  for (const Direction& direction : directions_) {
    loop_.Unwatch(direction.from);
    close(direction.from);
  }
}

void StreamTunnel::Watch(std::size_t index) {
  loop_.Watch(directions_[index].from, EPOLLIN,
              [weak = weak_from_this(), index](std::uint32_t) {
                if (const auto tunnel = weak.lock()) {
                  tunnel->Read(index);
                }
              });
}

void StreamTunnel::Read(std::size_t index) {
  Direction& direction = directions_[index];
  if (closed_ || direction.read_eof) {
    return;
  }
  Bytes bytes(kReadBytes);
  const ssize_t count = recv(direction.from, bytes.data(), bytes.size(), 0);
  if (count < 0) {
    if (errno != EAGAIN && errno != EINTR && errno != ENOTCONN) {
      Close();
    }
    return;
  }
  bytes.resize(static_cast<std::size_t>(count));
  if (bytes.empty()) {
    direction.read_eof = true;
    loop_.Unwatch(direction.from);
  } else {
    hooks_.on_bytes(index == 0, bytes.size());
  }
  ScheduleDelivery(index, std::move(bytes));
}

void StreamTunnel::ScheduleDelivery(std::size_t index, Bytes bytes) {
  Direction& direction = directions_[index];
  direction.buffered_bytes += bytes.size();
  direction.buffered.push_back(std::move(bytes));
  if (direction.buffered_bytes > kMaxBufferedBytes) {
    loop_.SetWatchedEvents(direction.from, 0);
  }
  // Keeps the bytes of the stream in order when a later delay is shorter.
  direction.last_delivery_time =
      std::max(direction.last_delivery_time, loop_.now() + hooks_.delay());
  loop_.At(direction.last_delivery_time, [weak = weak_from_this(), index] {
    if (const auto tunnel = weak.lock()) {
      tunnel->Deliver(index);
    }
  });
}

void StreamTunnel::Deliver(std::size_t index) {
  Direction& direction = directions_[index];
  if (closed_ || direction.buffered.empty()) {
    return;
  }
  const bool cut = hooks_.is_cut();
  if (cut || !WriteFront(direction)) {
    if (!closed_) {
      loop_.After(cut ? kPartitionRetryInterval : kWriteRetryInterval,
                  [weak = weak_from_this(), index] {
                    if (const auto tunnel = weak.lock()) {
                      tunnel->Deliver(index);
                    }
                  });
    }
    return;
  }
  if (!direction.read_eof && direction.buffered_bytes <= kMaxBufferedBytes) {
    loop_.SetWatchedEvents(direction.from, EPOLLIN);
  }
  CloseIfDone();
}

bool StreamTunnel::WriteFront(Direction& direction) {
  Bytes& front = direction.buffered.front();
  if (front.empty()) {
    shutdown(direction.to, SHUT_WR);
    direction.wrote_eof = true;
    direction.buffered.pop_front();
    return true;
  }
  const ssize_t count =
      send(direction.to, front.data(), front.size(), MSG_NOSIGNAL);
  if (count < 0) {
    if (errno != EAGAIN && errno != EINTR && errno != ENOTCONN) {
      Close();
    }
    return false;
  }
  direction.buffered_bytes -= static_cast<std::size_t>(count);
  front.erase(front.begin(), front.begin() + count);
  if (!front.empty()) {
    return false;
  }
  direction.buffered.pop_front();
  return true;
}

void StreamTunnel::CloseIfDone() {
  if (directions_[0].wrote_eof && directions_[1].wrote_eof) {
    Close();
  }
}

}  // namespace gcw::lab
