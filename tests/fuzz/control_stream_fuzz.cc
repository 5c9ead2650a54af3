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

// The messages that a reader cuts out of `input` in pieces of `step` bytes.
std::vector<std::vector<std::uint8_t>> Cut(std::span<const std::uint8_t> input,
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

// Messages do not depend on how the bytes arrive, and no bytes of a peer break
// the HTTP/2 side.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::span input(data, size);
  if (Cut(input, 1) != Cut(input, 7)) {
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
