#ifndef SRC_PLATFORM_BODY_SINK_H_
#define SRC_PLATFORM_BODY_SINK_H_

#include <string>
#include <string_view>

#include "gcw/base/result.h"

namespace gcw::platform {

// Receives the body of an answer as it arrives. Used by one thread at a time.
class BodySink {
 public:
  virtual ~BodySink() = default;

  // Takes the next bytes of the body. An error ends the call with this error.
  virtual Status OnBytes(std::string_view bytes) = 0;
};

// Keeps the whole body. Its length is bounded by the limit of the call.
class BufferSink : public BodySink {
 public:
  Status OnBytes(std::string_view bytes) override {
    body_.append(bytes);
    return OkStatus();
  }

  const std::string& body() const { return body_; }

 private:
  std::string body_;
};

}  // namespace gcw::platform

#endif  // SRC_PLATFORM_BODY_SINK_H_
