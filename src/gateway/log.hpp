/// The gateway's log on standard error: lines as text or JSON with fields, rate limits by message kind, and
/// no blocking. What a full pipe does not accept is dropped and counted.
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

/// In order of severity. As a setting the least severe level that is written; `off` writes nothing.
enum class LogLevel { debug, info, warning, error, off };

enum class LogFormat { text, json };

struct LogSettings {
  LogLevel level = LogLevel::info;
  LogFormat format = LogFormat::text;
  bool accessLog = false;           ///< a line for each response
  unsigned maxLinesPerSecond = 20;  ///< of one message kind; access and trace lines are exempt; 0: no limit
};

/// Not thread-safe: one thread writes.
class Log {
 public:
  using Clock = std::chrono::steady_clock;
  using Fields = std::initializer_list<std::pair<std::string_view, std::string>>;

  /// `name` of the gateway stands in every line. Lines go to `descriptor`, which stays open and keeps its
  /// flags.
  Log(std::string name, const LogSettings& settings, int descriptor = 2);
  ~Log();
  Log(const Log&) = delete;
  Log& operator=(const Log&) = delete;

  void applySettings(const LogSettings& settings);

  /// `kind` is one word that all messages of the same kind share; the rate limit goes by it. The first line
  /// after suppressed ones has their number (`left_out`), and the first that passes after lines were dropped
  /// at a full pipe has theirs (`dropped`).
  void write(LogLevel level, std::string_view kind, std::string_view text, Fields fields = {});

  /// Whether writeAccess writes anything.
  bool accessLogEnabled() const { return settings_.accessLog && settings_.level != LogLevel::off; }
  /// A line for one response. `outcome` is the field `end`; `milliseconds` since the request's arrival, below
  /// 0: unknown.
  void writeAccess(std::string_view requestId, std::string_view className, std::string_view outcome,
                   double milliseconds);

  /// Whether trace writes anything. Callers check it first, so that the fields cost nothing otherwise.
  bool tracing() const { return settings_.level == LogLevel::debug; }
  /// A step of one request, without a rate limit.
  void trace(std::string_view step, Fields fields);

  /// Lines since the start that a full or closed pipe did not accept.
  std::uint64_t dropped() const;

 private:
  class Sink;
  struct RateWindow {
    Clock::time_point start{};
    unsigned written = 0;
    unsigned suppressed = 0;  // since the last line that was written
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
