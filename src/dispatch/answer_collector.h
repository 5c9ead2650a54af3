#ifndef GCW_DISPATCH_ANSWER_COLLECTOR_H_
#define GCW_DISPATCH_ANSWER_COLLECTOR_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "gcw/dispatch/messages.h"

namespace gcw::dispatch {

// Collects the parts of the answer to one attempt. Not thread-safe.
class AnswerCollector {
 public:
  enum class Outcome {
    kIncomplete,        // Added; other parts are missing.
    kComplete,          // Added; the answer is complete.
    kDropped,           // A duplicate, invalid, or a part of another answer.
    kChecksumMismatch,  // All parts are present but their checksum is wrong.
  };

  // Adds one part unless it has to be dropped.
  Outcome Add(AnswerPart part);
  // Whether no part has been added since the last Take or Reset.
  bool empty() const { return count_ == 0; }
  // Returns the parts in order and resets the collector. Precondition: Add
  // returned kComplete.
  std::vector<AnswerPart> Take();
  // Discards all parts.
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
