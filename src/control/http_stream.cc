#include "src/control/http_stream.h"

#include <nghttp2/nghttp2.h>

#include <array>
#include <string_view>
#include <utility>

namespace gcw::control {
namespace {

// Room for a burst of flow records or a whole configuration without waiting
// for window updates, which cost 13 bytes each.
constexpr std::int32_t kWindowBytes = 1 << 20;

std::uint8_t* Bytes(std::string_view text) {
  // nghttp2 takes names and values as non-const but only reads them.
  return reinterpret_cast<std::uint8_t*>(const_cast<char*>(text.data()));
}

nghttp2_nv Header(std::string_view name, std::string_view value) {
  return nghttp2_nv{Bytes(name), Bytes(value), name.size(), value.size(),
                    NGHTTP2_NV_FLAG_NONE};
}

}  // namespace

// The functions that nghttp2 calls; `user_data` is the HttpStream.
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
  if (!stream->Prepare(true) || !stream->OpenStream()) {
    return nullptr;
  }
  return stream;
}

std::unique_ptr<HttpStream> HttpStream::MakeServer(Sink sink) {
  std::unique_ptr<HttpStream> stream(new HttpStream());
  stream->sink_ = std::move(sink);
  if (!stream->Prepare(false)) {
    return nullptr;
  }
  return stream;
}

HttpStream::~HttpStream() {
  nghttp2_session_del(session_);
}

bool HttpStream::Prepare(bool client) {
  nghttp2_session_callbacks* callbacks = nullptr;
  if (nghttp2_session_callbacks_new(&callbacks) != 0) {
    return false;
  }
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks,
                                                            &Callbacks::OnData);
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
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kWindowBytes},
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, 1},
  }};
  return nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings.data(),
                                 settings.size()) == 0 &&
         nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0,
                                               kWindowBytes) == 0;
}

bool HttpStream::OpenStream() {
  const std::array<nghttp2_nv, 4> headers = {
      Header(":method", "POST"), Header(":scheme", "http"),
      Header(":authority", "gcw"), Header(":path", "/control")};
  nghttp2_data_provider provider{};
  provider.read_callback = &Callbacks::Read;
  stream_ = nghttp2_submit_request(session_, nullptr, headers.data(),
                                   headers.size(), &provider, nullptr);
  return stream_ > 0;
}

bool HttpStream::Receive(std::span<const std::uint8_t> bytes) {
  const ssize_t taken =
      nghttp2_session_mem_recv(session_, bytes.data(), bytes.size());
  if (taken < 0 || static_cast<std::size_t>(taken) != bytes.size()) {
    return false;
  }
  // With nothing left to read or write, nghttp2 wants the connection closed.
  const bool over = nghttp2_session_want_read(session_) == 0 &&
                    nghttp2_session_want_write(session_) == 0;
  return !failed_ && !over;
}

std::span<const std::uint8_t> HttpStream::NextOutput() {
  const std::uint8_t* data = nullptr;
  const ssize_t length = nghttp2_session_mem_send(session_, &data);
  if (length <= 0) {
    return {};
  }
  return {data, static_cast<std::size_t>(length)};
}

void HttpStream::Resume() {
  if (stream_ > 0) {
    nghttp2_session_resume_data(session_, stream_);
  }
}

}  // namespace gcw::control
