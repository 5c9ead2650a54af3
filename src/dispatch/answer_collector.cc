#include "src/dispatch/answer_collector.h"

#include <utility>

#include "gcw/base/hash.h"

namespace gcw::dispatch {

AnswerCollector::Outcome AnswerCollector::Add(AnswerPart part) {
  if (!BelongsToAnswer(part)) {
    return Outcome::kDropped;
  }
  if (count_ == 0) {
    parts_.assign(part.parts, std::nullopt);
    first_index_ = part.part;
  }
  const std::size_t index = part.part;
  if (parts_[index].has_value()) {
    return Outcome::kDropped;
  }
  parts_[index] = std::move(part);
  ++count_;
  if (count_ < parts_.size()) {
    return Outcome::kIncomplete;
  }
  return IsChecksumCorrect() ? Outcome::kComplete : Outcome::kChecksumMismatch;
}

bool AnswerCollector::BelongsToAnswer(const AnswerPart& part) const {
  const bool valid =
      part.parts > 0 && part.parts <= kMaxAnswerParts && part.part < part.parts;
  if (!valid || count_ == 0) {
    return valid;
  }
  const AnswerPart& first = *parts_[first_index_];
  return part.parts == first.parts && part.server == first.server &&
         part.incarnation == first.incarnation && part.sum == first.sum;
}

bool AnswerCollector::IsChecksumCorrect() const {
  if (parts_.size() == 1) {
    return StableHash(parts_[0]->body) == parts_[0]->sum;
  }
  Bytes whole;
  for (const std::optional<AnswerPart>& part : parts_) {
    whole.insert(whole.end(), part->body.begin(), part->body.end());
  }
  return StableHash(whole) == parts_[0]->sum;
}

std::vector<AnswerPart> AnswerCollector::Take() {
  std::vector<AnswerPart> parts;
  parts.reserve(parts_.size());
  for (std::optional<AnswerPart>& part : parts_) {
    parts.push_back(*std::move(part));
  }
  Reset();
  return parts;
}

void AnswerCollector::Reset() {
  parts_.clear();
  count_ = 0;
}

}  // namespace gcw::dispatch
