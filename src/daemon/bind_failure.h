#ifndef GCW_DAEMON_BIND_FAILURE_H_
#define GCW_DAEMON_BIND_FAILURE_H_

#include "gcw/base/endpoint.h"
#include "gcw/base/result.h"

namespace gcw::daemon {

// Why a TCP server could not listen on `address`, as far as another attempt
// shows; the HTTP library reports no cause. The error has the code kBindFailed,
// and Retry::kAlways if the attempt succeeds. Thread-safe.
Error ExplainBindFailure(const Endpoint& address);

}  // namespace gcw::daemon

#endif  // GCW_DAEMON_BIND_FAILURE_H_
