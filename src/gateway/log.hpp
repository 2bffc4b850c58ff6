/// The gateway's log on standard error: text or JSON lines with fields, rate-limited by message kind. Writing
/// never blocks: lines that a full pipe does not accept are dropped and counted.
#pragma once

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace spdlog {
class logger;
}

namespace hollyrun::gateway {

/// In order of severity. As a setting, the lowest severity that is written; `off` disables the log.
enum class LogLevel { debug, info, warning, error, off };

enum class LogFormat { text, json };

struct LogSettings {
  LogLevel level = LogLevel::info;
  LogFormat format = LogFormat::text;
  bool accessLog = false;           ///< write a line for each response
  unsigned maxLinesPerSecond = 20;  ///< per message kind; access and trace lines are exempt; 0: no limit
};

/// Not thread-safe: all calls must come from one thread.
class Log {
 public:
  using Clock = std::chrono::steady_clock;
  using Fields = std::initializer_list<std::pair<std::string_view, std::string>>;

  /// Every line contains `name`, the gateway's name. Lines are written to `descriptor`, which stays open and
  /// keeps its flags.
  Log(std::string name, const LogSettings& settings, int descriptor = 2);
  ~Log();
  Log(const Log&) = delete;
  Log& operator=(const Log&) = delete;

  void applySettings(const LogSettings& settings);

  /// `kind` is one word that classifies the message; each kind has a rate limit of its own. The next line of
  /// a kind after suppressed ones reports their number in the field `left_out`, and the first line written
  /// after a full pipe reports the number of dropped lines in the field `dropped`.
  void write(LogLevel level, std::string_view kind, std::string_view text, Fields fields = {});

  /// Whether writeAccess() writes lines.
  bool accessLogEnabled() const { return settings_.accessLog && settings_.level != LogLevel::off; }
  /// Writes the line for one response. `outcome` becomes the field `end`; `milliseconds` is the time since
  /// the request's arrival, negative if it is unknown.
  void writeAccess(std::string_view requestId, std::string_view className, std::string_view outcome,
                   double milliseconds);

  /// Whether trace() writes lines. Callers check this first, to avoid building fields that are not written.
  bool tracing() const { return settings_.level == LogLevel::debug; }
  /// Writes a line for one step of a request, without a rate limit.
  void trace(std::string_view step, Fields fields);

  /// Number of lines that a full or closed pipe did not accept since the start.
  std::uint64_t dropped() const;

 private:
  class Sink;
  struct RateWindow {
    Clock::time_point start{};
    unsigned written = 0;
    unsigned suppressed = 0;  // lines since the last written one
  };

  RateWindow& rateWindowOf(std::string_view kind);
  void writeLine(LogLevel level, std::string_view kind, std::string_view text, Fields fields,
                 unsigned suppressed);
  std::string lineHead(std::string_view kind, std::string_view text) const;
  void appendField(std::string& line, std::string_view key, std::string_view value) const;

  std::string name_;
  LogSettings settings_;
  std::shared_ptr<Sink> sink_;
  std::shared_ptr<spdlog::logger> logger_;
  std::map<std::string, RateWindow, std::less<>> rateWindows_;  // by message kind
  std::uint64_t reportedDropped_ = 0;
};

}  // namespace hollyrun::gateway
