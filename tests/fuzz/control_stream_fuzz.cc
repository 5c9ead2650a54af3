#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <span>
#include <string_view>
#include <vector>

#include "src/control/frame_reader.h"
#include "src/control/http_stream.h"

namespace control = gcw::control;

namespace {

// The messages that a FrameReader extracts from `input` when it receives `step`
// bytes at a time.
std::vector<std::vector<std::uint8_t>> ReadMessages(
    std::span<const std::uint8_t> input,
    std::size_t step) {
  constexpr std::size_t kMaxMessage = 256;
  control::FrameReader reader(kMaxMessage);
  std::vector<std::vector<std::uint8_t>> messages;
  bool good = true;
  while (good && !input.empty()) {
    const std::size_t count = std::min(step, input.size());
    good = reader.Feed(input.first(count), [&](auto message) {
      if (message.size() > kMaxMessage) {
        std::abort();
      }
      messages.emplace_back(message.begin(), message.end());
      return true;
    });
    input = input.subspan(count);
  }
  return messages;
}

}  // namespace

// Checks that a FrameReader extracts the same messages no matter in which
// portions the bytes arrive, and that the server side of an HTTP/2 connection
// (HttpStream) handles any bytes from a peer.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::span input(data, size);
  if (ReadMessages(input, 1) != ReadMessages(input, 7)) {
    std::abort();
  }
  static constexpr std::string_view kPreface =
      "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
  auto server = control::HttpStream::MakeServer([](auto) { return true; });
  const std::span preface(
      reinterpret_cast<const std::uint8_t*>(kPreface.data()), kPreface.size());
  if (server->Receive(preface) && server->Receive(input)) {
    while (!server->NextOutput().empty()) {
    }
  }
  return 0;
}
