#ifndef GCW_BASE_LOG_H_
#define GCW_BASE_LOG_H_

#include <fmt/format.h>

#include <string_view>
#include <utility>

namespace gcw {

enum class LogLevel { kDebug, kInfo, kWarning, kError, kNone };

// Sets the lowest level that is printed. Thread-safe.
void SetLogLevel(LogLevel level);
LogLevel CurrentLogLevel();

// Writes one line to standard error: time, level, the prefix of the part and
// a short sentence. Lines of concurrent threads do not mix. Thread-safe.
void WriteLog(LogLevel level, std::string_view prefix, std::string_view text);

// A log with the fixed prefix of one part, for example Logger("routing").
// Thread-safe.
class Logger {
 public:
  // `prefix` must outlive the logger; string literals do.
  explicit constexpr Logger(std::string_view prefix) : prefix_(prefix) {}

  bool enabled(LogLevel level) const { return level >= CurrentLogLevel(); }

  template <typename... Args>
  void Debug(fmt::format_string<Args...> format, Args&&... args) const {
    Write(LogLevel::kDebug, format, std::forward<Args>(args)...);
  }
  template <typename... Args>
  void Info(fmt::format_string<Args...> format, Args&&... args) const {
    Write(LogLevel::kInfo, format, std::forward<Args>(args)...);
  }
  template <typename... Args>
  void Warning(fmt::format_string<Args...> format, Args&&... args) const {
    Write(LogLevel::kWarning, format, std::forward<Args>(args)...);
  }
  template <typename... Args>
  void Error(fmt::format_string<Args...> format, Args&&... args) const {
    Write(LogLevel::kError, format, std::forward<Args>(args)...);
  }

 private:
  template <typename... Args>
  void Write(LogLevel level,
             fmt::format_string<Args...> format,
             Args&&... args) const {
    if (enabled(level)) {
      WriteLog(level, prefix_,
               fmt::format(format, std::forward<Args>(args)...));
    }
  }

  std::string_view prefix_;
};

}  // namespace gcw

#endif  // GCW_BASE_LOG_H_
