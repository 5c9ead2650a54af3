#include "src/daemon/connection_thread_pool.h"

#include <sys/socket.h>

#include <string>
#include <utility>

#include "absl/time/clock.h"

namespace gcw::daemon {
namespace {

constexpr int kListenBacklog = 512;

}  // namespace

ConnectionThreadPool::ConnectionThreadPool(std::size_t max_threads)
    : max_threads_(max_threads) {}

ConnectionThreadPool::~ConnectionThreadPool() {
  shutdown();
}

void ConnectionThreadPool::enqueue(std::function<void()> task) {
  const absl::MutexLock lock(&mutex_);
  tasks_.push_back(std::move(task));
  if (tasks_.size() > idle_threads_ && threads_.size() < max_threads_) {
    threads_.emplace_back([this] { Run(); });
  }
}

void ConnectionThreadPool::shutdown() {
  std::list<std::thread> threads;
  {
    const absl::MutexLock lock(&mutex_);
    shutting_down_ = true;
    threads.swap(threads_);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
}

void ConnectionThreadPool::Run() {
  while (std::function<void()> task = NextTask()) {
    task();
  }
}

std::function<void()> ConnectionThreadPool::NextTask() {
  const absl::MutexLock lock(&mutex_);
  ++idle_threads_;
  const auto is_ready = [this]() ABSL_SHARED_LOCKS_REQUIRED(mutex_) {
    return !tasks_.empty() || shutting_down_;
  };
  mutex_.Await(absl::Condition(&is_ready));
  --idle_threads_;
  if (tasks_.empty()) {
    return nullptr;
  }
  std::function<void()> task = std::move(tasks_.front());
  tasks_.pop_front();
  return task;
}

int BindServer(httplib::Server* server, const Endpoint& endpoint) {
  int listener = -1;
  server->set_socket_options([&listener](socket_t socket) {
    const int on = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    listener = socket;
  });
  const std::string host = IpToString(endpoint.ip);
  int port = endpoint.port;
  if (port == 0) {
    port = server->bind_to_any_port(host);
  } else if (!server->bind_to_port(host, port)) {
    port = 0;
  }
  if (port <= 0) {
    return 0;
  }
  // The library listens with a backlog of 5; calling listen() again raises it.
  listen(listener, kListenBacklog);
  server->set_socket_options([](socket_t) {});
  return port;
}

std::thread ServeOnThread(httplib::Server* server) {
  std::thread thread([server] { server->listen_after_bind(); });
  while (!server->is_running()) {
    absl::SleepFor(absl::Milliseconds(1));
  }
  return thread;
}

}  // namespace gcw::daemon
