#include <string>
#include <utility>

#include "absl/time/clock.h"
#include "gcw/base/hash.h"
#include "gcw/platform/conditional_write.h"

namespace gcw::platform {
namespace {

// Executes single steps of a ConditionalWrite with a client and returns the
// step that follows.
class StepRunner {
 public:
  StepRunner(PlatformClient* client, ConditionalWrite* write, std::string key)
      : client_(client), write_(write), key_(std::move(key)) {}

  WriteStep operator()(const ReadObject&) {
    Result<Object> object = client_->Get(key_);
    return write_->OnObject(std::move(object), absl::Now());
  }
  WriteStep operator()(const ReadEvents& step) {
    const Result<WatchAnswer> answer =
        client_->Watch(key_, step.after, absl::ZeroDuration());
    return write_->OnEvents(answer, absl::Now());
  }
  WriteStep operator()(const PutObject& step) {
    const Result<Version> version =
        client_->Put(key_, step.value, step.if_version);
    return write_->OnWritten(version, absl::Now());
  }
  WriteStep operator()(const DeleteObject& step) {
    const Result<Version> version = client_->Delete(key_, step.if_version);
    return write_->OnWritten(version, absl::Now());
  }
  WriteStep operator()(const Pause& step) {
    absl::SleepFor(step.duration);
    return write_->OnPaused(absl::Now());
  }
  WriteStep operator()(const Finish& step) { return step; }

 private:
  PlatformClient* client_;
  ConditionalWrite* write_;
  const std::string key_;
};

}  // namespace

ConditionalWriter::ConditionalWriter(PlatformClient* client,
                                     const WriteOptions& options,
                                     std::uint64_t seed)
    : client_(client), options_(options), seed_(seed) {}

Result<WriteOutcome> ConditionalWriter::Write(WriteRequest request) {
  seed_ = MixHash(seed_, StableHash(request.op));
  const std::string key = request.key;
  ConditionalWrite write(std::move(request), options_, seed_, absl::Now());
  StepRunner run(client_, &write, key);
  WriteStep step = write.Start();
  while (!std::holds_alternative<Finish>(step)) {
    step = std::visit(run, step);
  }
  return std::get<Finish>(std::move(step)).result;
}

}  // namespace gcw::platform
