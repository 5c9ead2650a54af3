#ifndef REVIEW_STAND_INS_3_RECORD_H_
#define REVIEW_STAND_INS_3_RECORD_H_

#include <cstdio>
#include <string>

#include "review/stand-ins-3/loop.h"

namespace review3 {

// What was sent, answered and run, one line each with the time in seconds.
class Record {
 public:
  Record(Loop& loop, const std::string& path)
      : loop_(loop), file_(std::fopen(path.c_str(), "w")) {}
  ~Record() {
    if (file_ != nullptr) {
      std::fclose(file_);
    }
  }

  bool open() const { return file_ != nullptr; }

  void Line(const std::string& text) {
    std::fprintf(file_, "%8.3f %s\n", loop_.now(), text.c_str());
  }
  // Writes a line that is printed, too.
  void Say(const std::string& text) {
    Line(text);
    std::printf("%8.3f %s\n", loop_.now(), text.c_str());
    std::fflush(stdout);
  }

 private:
  Loop& loop_;
  std::FILE* file_;
};

}  // namespace review3

#endif  // REVIEW_STAND_INS_3_RECORD_H_
