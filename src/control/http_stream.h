#ifndef GCW_SRC_CONTROL_HTTP_STREAM_H_
#define GCW_SRC_CONTROL_HTTP_STREAM_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>

struct nghttp2_session;

namespace gcw::control {

// The protocol state of an HTTP/2 connection with one long-lived stream from
// client to server. Does no I/O: the caller moves the bytes between this object
// and a socket. Not thread-safe.
class HttpStream {
 public:
  // Copies the next bytes to send into the span and returns their number, or 0
  // if there are none. After a 0, it is called again only after Resume().
  using Source = std::function<std::size_t(std::span<std::uint8_t>)>;
  // Receives the bytes that arrived on the stream; returns false to end the
  // connection.
  using Sink = std::function<bool(std::span<const std::uint8_t>)>;

  // Makes the sending side. Returns null if nghttp2 fails to set it up.
  static std::unique_ptr<HttpStream> MakeClient(Source source);
  // Makes the receiving side. Returns null if nghttp2 fails to set it up.
  static std::unique_ptr<HttpStream> MakeServer(Sink sink);

  ~HttpStream();
  HttpStream(const HttpStream&) = delete;
  HttpStream& operator=(const HttpStream&) = delete;

  // Processes bytes from the peer. Returns false if the peer violated the
  // protocol, if the stream or the session has ended, or if the sink returned
  // false.
  bool Receive(std::span<const std::uint8_t> bytes);

  // The next bytes for the peer, empty if there are none. Valid until the next
  // call. The caller must send all returned bytes, in order.
  std::span<const std::uint8_t> NextOutput();

  // Tells the stream that the source has data again after it returned 0.
  void Resume();

  // Adds an HTTP/2 PING to the output. The peer acknowledges it once it has
  // read all that was sent before. Returns false if nghttp2 is out of memory.
  bool SubmitPing();
  // Whether a PING has not been acknowledged yet.
  bool ping_pending() const { return ping_pending_; }

 private:
  struct Callbacks;

  HttpStream() = default;
  bool InitSession(bool client);
  bool OpenStream();

  nghttp2_session* session_ = nullptr;
  std::int32_t stream_id_ = -1;
  bool failed_ = false;
  bool ping_pending_ = false;
  Source source_;
  Sink sink_;
};

}  // namespace gcw::control

#endif  // GCW_SRC_CONTROL_HTTP_STREAM_H_
