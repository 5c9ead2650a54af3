#ifndef GCW_SRC_CONTROL_HTTP_STREAM_H_
#define GCW_SRC_CONTROL_HTTP_STREAM_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>

struct nghttp2_session;

namespace gcw::control {

// One HTTP/2 connection with one long-lived stream from client to server, as
// bytes in and bytes out; sockets are the caller's. Not thread-safe.
class HttpStream {
 public:
  // Fills the span with what is to be sent and says how much; 0 if there is
  // nothing now, and Resume will tell of more.
  using Source = std::function<std::size_t(std::span<std::uint8_t>)>;
  // Takes what arrived on the stream; false ends the connection.
  using Sink = std::function<bool(std::span<const std::uint8_t>)>;

  // The side that sends. Null if memory runs out.
  static std::unique_ptr<HttpStream> MakeClient(Source source);
  // The side that receives.
  static std::unique_ptr<HttpStream> MakeServer(Sink sink);

  ~HttpStream();
  HttpStream(const HttpStream&) = delete;
  HttpStream& operator=(const HttpStream&) = delete;

  // Takes bytes of the peer. False: the peer broke the protocol or its stream
  // has ended, or the sink refused.
  bool Receive(std::span<const std::uint8_t> bytes);

  // The next bytes for the peer, empty if there are none; valid until the next
  // call. Everything that is returned must be sent.
  std::span<const std::uint8_t> NextOutput();

  // The source has more.
  void Resume();

 private:
  struct Callbacks;

  HttpStream() = default;
  bool Prepare(bool client);
  bool OpenStream();

  nghttp2_session* session_ = nullptr;
  std::int32_t stream_ = -1;
  bool failed_ = false;
  Source source_;
  Sink sink_;
};

}  // namespace gcw::control

#endif  // GCW_SRC_CONTROL_HTTP_STREAM_H_
