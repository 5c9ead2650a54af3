#ifndef GCW_DISPATCH_ANSWER_COLLECTOR_H_
#define GCW_DISPATCH_ANSWER_COLLECTOR_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "gcw/dispatch/messages.h"

namespace gcw::dispatch {

// Collects the parts of one answer of one attempt. Not thread-safe.
class AnswerCollector {
 public:
  enum class Outcome {
    kIncomplete,        // Taken; parts are missing.
    kComplete,          // Taken; the answer is whole.
    kDropped,           // A copy, or it does not belong to the parts before.
    kChecksumMismatch,  // All parts are there but their sum is wrong.
  };

  Outcome Add(AnswerPart part);
  bool empty() const { return count_ == 0; }
  // The parts in order. Precondition: Add returned kWhole.
  std::vector<AnswerPart> Take();
  void Reset();

 private:
  bool BelongsToAnswer(const AnswerPart& part) const;
  bool IsChecksumCorrect() const;

  std::vector<std::optional<AnswerPart>> parts_;
  std::size_t first_index_ = 0;
  std::size_t count_ = 0;
};

}  // namespace gcw::dispatch

#endif  // GCW_DISPATCH_ANSWER_COLLECTOR_H_
