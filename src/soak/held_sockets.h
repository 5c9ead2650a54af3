#ifndef GCW_SOAK_HELD_SOCKETS_H_
#define GCW_SOAK_HELD_SOCKETS_H_

#include <cstddef>
#include <memory>
#include <vector>

#include "gcw/base/endpoint.h"
#include "gcw/base/result.h"

namespace gcw::soak {

enum class PortType { kUdp, kTcp };

// Holds a port as another process would. The destructor frees it. Not
// thread-safe.
class PortHolder {
 public:
  // Binds the port. Fails with kBindFailed if it is not free.
  static Result<std::unique_ptr<PortHolder>> Make(const Endpoint& address,
                                                  PortType type);
  ~PortHolder();
  PortHolder(const PortHolder&) = delete;
  PortHolder& operator=(const PortHolder&) = delete;

 private:
  explicit PortHolder(int socket) : socket_(socket) {}

  const int socket_;
};

// Connections that send nothing. The destructor closes them. Not thread-safe.
class IdleConnections {
 public:
  // Opens up to `count` connections to `address` without waiting for them.
  // Those that cannot be opened are left out.
  IdleConnections(const Endpoint& address, std::size_t count);
  ~IdleConnections();
  IdleConnections(const IdleConnections&) = delete;
  IdleConnections& operator=(const IdleConnections&) = delete;

 private:
  std::vector<int> sockets_;
};

}  // namespace gcw::soak

#endif  // GCW_SOAK_HELD_SOCKETS_H_
