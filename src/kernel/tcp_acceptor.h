#ifndef GCW_SRC_KERNEL_TCP_ACCEPTOR_H_
#define GCW_SRC_KERNEL_TCP_ACCEPTOR_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "absl/time/time.h"
#include "gcw/base/endpoint.h"
#include "gcw/base/result.h"
#include "src/kernel/socket.h"

namespace gcw::kernel {

// The accepted connections of a server.
class AcceptedConnections {
 public:
  virtual ~AcceptedConnections() = default;

  // How many are open.
  virtual std::size_t size() const = 0;
  // Adds a connection. `socket` does not block.
  virtual void Add(Socket socket, const Endpoint& from) = 0;
  // Closes the one that is missed least, such as the oldest on which nothing
  // useful has arrived. Returns false if none may be closed.
  virtual bool CloseLeastUseful() = 0;
};

// Counters since the acceptor was made.
struct AcceptStats {
  std::uint64_t closed_for_room = 0;  // Open ones, in favour of new ones.
  std::uint64_t refused = 0;  // New ones, since no open one could be closed.
  std::uint64_t pauses = 0;   // No descriptor or memory for a new one.
};

struct TcpAcceptorOptions {
  Endpoint listen;  // Port 0: any free port.
  int backlog = 128;
  // Connections that are open at the same time, at most.
  std::size_t max_connections = 1024;
  // They take at most this share of the descriptors that the process may open,
  // so that its other sockets are left some.
  double max_descriptor_share = 1;
  // Called in AcceptWaiting() after a counter has grown, at most once in 10 s.
  // Null: a log line is written instead.
  std::function<void(const Endpoint& listen, const AcceptStats& stats)>
      on_bound_reached;
};

// Accepts TCP connections and bounds how many are open. While the system has no
// descriptor or memory for another one, accepting pauses; the listening socket
// stays readable then and must not be waited for. Only stats() may be called
// from another thread.
class TcpAcceptor {
 public:
  // Listens. `connections` must outlive the acceptor. Fails with kBindFailed.
  static Result<std::unique_ptr<TcpAcceptor>> Make(
      const TcpAcceptorOptions& options,
      AcceptedConnections& connections);

  TcpAcceptor(const TcpAcceptor&) = delete;
  TcpAcceptor& operator=(const TcpAcceptor&) = delete;

  // The listening socket.
  int fd() const { return listener_.fd(); }
  // The address that it listens on.
  Endpoint address() const { return address_; }

  // Accepts some of the connections that wait. Call when the listening socket
  // is readable, then handle other events before the next call. `now` is
  // monotonic time.
  void AcceptWaiting(absl::Time now);

  // The time until which the listening socket must not be waited for.
  absl::Time paused_until() const { return paused_until_; }

  // The current counters.
  AcceptStats stats() const;

 private:
  TcpAcceptor(const TcpAcceptorOptions& options,
              AcceptedConnections& connections);

  Status Listen();
  bool AcceptOne(absl::Time now);
  void AddOrRefuse(Socket socket, const Endpoint& from);
  bool MakeRoom();
  void ReportIfDue(absl::Time now);

  const TcpAcceptorOptions options_;
  const std::size_t max_connections_;
  AcceptedConnections& connections_;
  Socket listener_;
  Endpoint address_;
  absl::Time paused_until_ = absl::InfinitePast();
  absl::Time next_report_ = absl::InfinitePast();
  std::uint64_t reported_ = 0;  // The sum of the counters in the last report.
  std::atomic<std::uint64_t> closed_for_room_{0};
  std::atomic<std::uint64_t> refused_{0};
  std::atomic<std::uint64_t> pauses_{0};
};

}  // namespace gcw::kernel

#endif  // GCW_SRC_KERNEL_TCP_ACCEPTOR_H_
