#ifndef GCW_BASE_LOG_H_
#define GCW_BASE_LOG_H_

#include <fmt/format.h>

#include <string_view>
#include <utility>

namespace gcw {

// The severity of a line, in ascending order. kNone is no severity: as the
// lowest printed level it turns all lines off.
enum class LogLevel { kDebug, kInfo, kWarning, kError, kNone };

// Sets the lowest level that Logger prints in this process. Thread-safe.
void SetLogLevel(LogLevel level);
// Returns the lowest level that Logger prints in this process. Thread-safe.
LogLevel CurrentLogLevel();

// Writes one line to standard error, whatever the current log level: the Unix
// time in seconds, the letter of the level, `prefix` and `text`. Lines of
// concurrent threads are not interleaved. Thread-safe.
void WriteLog(LogLevel level, std::string_view prefix, std::string_view text);

// Prints the log lines of one component under a fixed prefix, for example
// Logger("routing"). Lines below the current log level are not formatted.
// Thread-safe.
class Logger {
 public:
  // `prefix` must outlive the logger; a string literal does.
  explicit constexpr Logger(std::string_view prefix) : prefix_(prefix) {}

  // Whether lines of `level` are printed.
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
