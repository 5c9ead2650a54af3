#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "gcw/platform/api_format.h"

namespace gcw::platform {
namespace {

// Bounds the memory that one body takes.
constexpr std::size_t kMaxBodyBytes = 64 * 1'048'576;

// Collects the bytes of one body.
class Body {
 public:
  Status Add(std::string_view bytes) {
    if (bytes.size() > kMaxBodyBytes - text_.size()) {
      too_long_ = true;
      text_ = std::string();
    }
    if (too_long_) {
      return Error{ResultCode::kPlatformBadAnswer, "",
                   "the answer is too long"};
    }
    text_.append(bytes);
    return OkStatus();
  }

  // Fails if the body was too long.
  Result<std::string> Take() {
    const Status status = Add("");
    if (!status.ok()) {
      return status.error();
    }
    return std::move(text_);
  }

 private:
  std::string text_;
  bool too_long_ = false;
};

class BufferingListDecoder : public ListDecoder {
 public:
  BufferingListDecoder(const ApiFormat& format, std::string_view prefix)
      : format_(format), prefix_(prefix) {}

  Status OnBytes(std::string_view bytes) override { return body_.Add(bytes); }

  Result<ListPage> Finish() override {
    const Result<std::string> body = body_.Take();
    return body.ok() ? format_.DecodeListPage(prefix_, body.value())
                     : body.error();
  }

 private:
  const ApiFormat& format_;
  std::string prefix_;
  Body body_;
};

class BufferingWatchDecoder : public WatchDecoder {
 public:
  BufferingWatchDecoder(const ApiFormat& format, std::string_view prefix)
      : format_(format), prefix_(prefix) {}

  Status OnBytes(std::string_view bytes) override { return body_.Add(bytes); }

  Result<WatchAnswer> Finish() override {
    const Result<std::string> body = body_.Take();
    return body.ok() ? format_.DecodeWatch(prefix_, body.value())
                     : body.error();
  }

 private:
  const ApiFormat& format_;
  std::string prefix_;
  Body body_;
};

}  // namespace

std::unique_ptr<ListDecoder> ApiFormat::MakeListDecoder(
    std::string_view prefix) const {
  return std::make_unique<BufferingListDecoder>(*this, prefix);
}

std::unique_ptr<WatchDecoder> ApiFormat::MakeWatchDecoder(
    std::string_view prefix) const {
  return std::make_unique<BufferingWatchDecoder>(*this, prefix);
}

}  // namespace gcw::platform
