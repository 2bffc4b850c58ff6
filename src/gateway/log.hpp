// The gateway's log on standard error: text or JSON lines with fields, a limit for each kind of message, and
// never a wait. What a full pipe does not take is dropped and counted.
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

enum class LogLevel { debug, info, warning, error, off };

struct LogSettings {
  LogLevel level = LogLevel::info;
  bool json = false;
  bool access = false;          ///< a line for each answer
  unsigned mostPerSecond = 20;  ///< of one kind of message, access lines apart; 0: no limit
};

class Log {
 public:
  using Clock = std::chrono::steady_clock;
  using Fields = std::initializer_list<std::pair<std::string_view, std::string>>;

  /// `name` stands in every line. Lines go to the descriptor, which is neither closed nor changed.
  Log(std::string name, const LogSettings& settings, int descriptor = 2);
  ~Log();
  Log(const Log&) = delete;
  Log& operator=(const Log&) = delete;

  void set(const LogSettings& settings);
  bool access() const { return settings_.access && settings_.level != LogLevel::off; }

  /// `kind` is one word that stays the same for all such messages; the limit goes by it. The first line after
  /// some were left out says how many (`left_out`), and how many a full pipe took (`dropped`).
  void write(LogLevel level, std::string_view kind, std::string_view text, Fields fields = {});
  /// One answer; `ms` below 0: no request's time is known.
  void answered(std::string_view request, std::string_view cls, std::string_view end, double ms);

  bool tracing() const { return settings_.level == LogLevel::debug; }
  /// A step of one request, with no limit on their number: at level debug only. Callers ask tracing() first,
  /// so that the fields cost nothing otherwise.
  void trace(std::string_view step, Fields fields);

  std::uint64_t dropped() const;  ///< since the start, by a full pipe or a closed one

 private:
  class Sink;
  struct Kind {
    Clock::time_point since{};
    unsigned written = 0, leftOut = 0;
  };
  void line(LogLevel level, std::string_view kind, std::string_view text, Fields fields, unsigned leftOut);

  std::string name_;
  LogSettings settings_;
  std::shared_ptr<Sink> sink_;
  std::shared_ptr<spdlog::logger> logger_;
  std::map<std::string, Kind, std::less<>> kinds_;
  std::uint64_t droppedTold_ = 0;
};

}  // namespace hollyrun::gateway
