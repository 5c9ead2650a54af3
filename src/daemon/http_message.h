#ifndef GCW_DAEMON_HTTP_MESSAGE_H_
#define GCW_DAEMON_HTTP_MESSAGE_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace gcw::daemon {

// The longest request line and header fields that are accepted, in bytes.
inline constexpr std::size_t kMaxRequestHeadBytes = 8192;

// What an HTTP request asks for.
struct HttpRequest {
  std::string method;  // Uppercase, such as "GET".
  std::string path;    // Without the query.
};

// Parses a request line and header fields, up to and including the empty line.
// Returns nothing if they are malformed, the method is unknown or the version
// is not HTTP/1.
std::optional<HttpRequest> ParseRequestHead(std::string_view head);

struct HttpResponse {
  int status = 200;
  std::string_view content_type;  // Empty: none.
  std::string_view body;
  bool without_body = false;  // For HEAD: states the length of `body` only.
};

// The response as it is sent, on a connection that is closed after it.
std::string FormatResponse(const HttpResponse& response);

}  // namespace gcw::daemon

#endif  // GCW_DAEMON_HTTP_MESSAGE_H_
