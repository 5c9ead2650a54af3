#include "src/control/http_stream.h"

#include <nghttp2/nghttp2.h>

#include <array>
#include <string_view>
#include <utility>

namespace gcw::control {
namespace {

// The HTTP/2 flow-control window. Large enough for a burst of flow records or a
// whole configuration without waiting for window updates, which cost 13 bytes
// each.
constexpr std::int32_t kFlowControlWindowBytes = 1 << 20;

std::uint8_t* MutableBytes(std::string_view text) {
  // nghttp2 takes names and values as non-const pointers but does not modify
  // them.
  return reinterpret_cast<std::uint8_t*>(const_cast<char*>(text.data()));
}

nghttp2_nv Header(std::string_view name, std::string_view value) {
  return nghttp2_nv{MutableBytes(name), MutableBytes(value), name.size(),
                    value.size(), NGHTTP2_NV_FLAG_NONE};
}

}  // namespace

// The nghttp2 callbacks; `user_data` is the HttpStream.
struct HttpStream::Callbacks {
  static ssize_t Read(nghttp2_session* /*session*/,
                      std::int32_t /*stream*/,
                      std::uint8_t* buffer,
                      std::size_t length,
                      std::uint32_t* /*flags*/,
                      nghttp2_data_source* /*source*/,
                      void* user_data) {
    auto* self = static_cast<HttpStream*>(user_data);
    const std::size_t filled = self->source_(std::span(buffer, length));
    return filled == 0 ? static_cast<ssize_t>(NGHTTP2_ERR_DEFERRED)
                       : static_cast<ssize_t>(filled);
  }

  static int OnData(nghttp2_session* /*session*/,
                    std::uint8_t /*flags*/,
                    std::int32_t /*stream*/,
                    const std::uint8_t* data,
                    std::size_t length,
                    void* user_data) {
    auto* self = static_cast<HttpStream*>(user_data);
    if (self->sink_ && !self->failed_ &&
        !self->sink_(std::span(data, length))) {
      self->failed_ = true;
    }
    return 0;
  }

  static int OnFrame(nghttp2_session* /*session*/,
                     const nghttp2_frame* frame,
                     void* user_data) {
    if (frame->hd.type == NGHTTP2_PING &&
        (frame->hd.flags & NGHTTP2_FLAG_ACK) != 0) {
      static_cast<HttpStream*>(user_data)->ping_pending_ = false;
    }
    return 0;
  }

  static int OnStreamClose(nghttp2_session* /*session*/,
                           std::int32_t /*stream*/,
                           std::uint32_t /*error*/,
                           void* user_data) {
    static_cast<HttpStream*>(user_data)->failed_ = true;
    return 0;
  }
};

std::unique_ptr<HttpStream> HttpStream::MakeClient(Source source) {
  std::unique_ptr<HttpStream> stream(new HttpStream());
  stream->source_ = std::move(source);
  if (!stream->InitSession(true) || !stream->OpenStream()) {
    return nullptr;
  }
  return stream;
}

std::unique_ptr<HttpStream> HttpStream::MakeServer(Sink sink) {
  std::unique_ptr<HttpStream> stream(new HttpStream());
  stream->sink_ = std::move(sink);
  if (!stream->InitSession(false)) {
    return nullptr;
  }
  return stream;
}

HttpStream::~HttpStream() {
  nghttp2_session_del(session_);
}

bool HttpStream::InitSession(bool client) {
  nghttp2_session_callbacks* callbacks = nullptr;
  if (nghttp2_session_callbacks_new(&callbacks) != 0) {
    return false;
  }
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks,
                                                            &Callbacks::OnData);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks,
                                                       &Callbacks::OnFrame);
  nghttp2_session_callbacks_set_on_stream_close_callback(
      callbacks, &Callbacks::OnStreamClose);
  const int made = client
                       ? nghttp2_session_client_new(&session_, callbacks, this)
                       : nghttp2_session_server_new(&session_, callbacks, this);
  nghttp2_session_callbacks_del(callbacks);
  if (made != 0) {
    return false;
  }
  const std::array<nghttp2_settings_entry, 2> settings = {{
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kFlowControlWindowBytes},
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, 1},
  }};
  return nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings.data(),
                                 settings.size()) == 0 &&
         nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0,
                                               kFlowControlWindowBytes) == 0;
}

bool HttpStream::OpenStream() {
  const std::array<nghttp2_nv, 4> headers = {
      Header(":method", "POST"), Header(":scheme", "http"),
      Header(":authority", "gcw"), Header(":path", "/control")};
  nghttp2_data_provider provider{};
  provider.read_callback = &Callbacks::Read;
  stream_id_ = nghttp2_submit_request(session_, nullptr, headers.data(),
                                      headers.size(), &provider, nullptr);
  return stream_id_ > 0;
}

bool HttpStream::Receive(std::span<const std::uint8_t> bytes) {
  const ssize_t consumed =
      nghttp2_session_mem_recv(session_, bytes.data(), bytes.size());
  if (consumed < 0 || static_cast<std::size_t>(consumed) != bytes.size()) {
    return false;
  }
  // If nghttp2 wants neither to read nor to write, the HTTP/2 session has
  // ended.
  const bool finished = nghttp2_session_want_read(session_) == 0 &&
                        nghttp2_session_want_write(session_) == 0;
  return !failed_ && !finished;
}

std::span<const std::uint8_t> HttpStream::NextOutput() {
  const std::uint8_t* data = nullptr;
  const ssize_t length = nghttp2_session_mem_send(session_, &data);
  if (length <= 0) {
    return {};
  }
  return {data, static_cast<std::size_t>(length)};
}

bool HttpStream::SubmitPing() {
  if (nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr) != 0) {
    return false;
  }
  ping_pending_ = true;
  return true;
}

void HttpStream::Resume() {
  if (stream_id_ > 0) {
    nghttp2_session_resume_data(session_, stream_id_);
  }
}

}  // namespace gcw::control
