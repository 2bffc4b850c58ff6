#include "gateway/log.hpp"

#include <limits.h>
#include <poll.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/logger.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/base_sink.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace hollyrun::gateway {
namespace {

constexpr auto kRateWindow = std::chrono::seconds(1);

// %v is the line that writeLine() builds; for JSON, the object's members without the braces.
constexpr const char* kJsonPattern = R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",%v})";
constexpr const char* kTextPattern = "%Y-%m-%dT%H:%M:%S.%eZ %l %v";

spdlog::level::level_enum spdlogLevel(LogLevel level) {
  switch (level) {
    case LogLevel::debug:
      return spdlog::level::debug;
    case LogLevel::info:
      return spdlog::level::info;
    case LogLevel::warning:
      return spdlog::level::warn;
    case LogLevel::error:
      return spdlog::level::err;
    case LogLevel::off:
      return spdlog::level::off;
  }
  return spdlog::level::info;
}

std::string jsonText(std::string_view text) {
  return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

// Returns the value for a text line, quoted if it would not read as one token.
std::string quotedIfNeeded(std::string_view text) {
  const bool isToken = !text.empty() && text.find_first_of(" \"=\n\r\t") == std::string_view::npos;
  return isToken ? std::string(text) : jsonText(text);
}

// Messages may quote external input; replacing its control characters keeps each message on one line.
std::string withoutControlCharacters(std::string_view text) {
  std::string result(text);
  std::replace_if(
      result.begin(), result.end(), [](unsigned char c) { return c < 0x20; }, ' ');
  return result;
}

std::string millisecondsText(double milliseconds) {
  if (milliseconds < 0)
    return "-";
  char text[32];
  std::snprintf(text, sizeof text, "%.3f", milliseconds);
  return text;
}

}  // namespace

class Log::Sink final : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  explicit Sink(int descriptor) : descriptor_(descriptor) {}

  std::uint64_t dropped() const { return dropped_; }

 protected:
  // Writing to a full pipe would block the event loop and thereby all requests. A pipe that polls as writable
  // accepts up to PIPE_BUF bytes at once and as a whole, so longer lines are truncated.
  void sink_it_(const spdlog::details::log_msg& message) override {
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    if (line.size() > PIPE_BUF) {
      line.resize(PIPE_BUF);
      line[PIPE_BUF - 1] = '\n';
    }
    pollfd polled{descriptor_, POLLOUT, 0};
    const bool isWritable = ::poll(&polled, 1, 0) == 1 && (polled.revents & POLLOUT) != 0;
    if (!isWritable || ::write(descriptor_, line.data(), line.size()) != static_cast<ssize_t>(line.size()))
      ++dropped_;
  }
  void flush_() override {}

 private:
  int descriptor_;
  std::uint64_t dropped_ = 0;
};

Log::Log(std::string name, const LogSettings& settings, int descriptor)
    : name_(std::move(name)),
      sink_(std::make_shared<Sink>(descriptor)),
      logger_(std::make_shared<spdlog::logger>("hollyrun", sink_)) {
  applySettings(settings);
}

Log::~Log() = default;

void Log::applySettings(const LogSettings& settings) {
  settings_ = settings;
  logger_->set_level(spdlogLevel(settings.level));
  const char* pattern = settings.format == LogFormat::json ? kJsonPattern : kTextPattern;
  logger_->set_formatter(
      std::make_unique<spdlog::pattern_formatter>(pattern, spdlog::pattern_time_type::utc));
}

std::uint64_t Log::dropped() const {
  return sink_->dropped();
}

Log::RateWindow& Log::rateWindowOf(std::string_view kind) {
  auto found = rateWindows_.find(kind);
  if (found == rateWindows_.end())
    found = rateWindows_.emplace(std::string(kind), RateWindow{}).first;
  return found->second;
}

void Log::write(LogLevel level, std::string_view kind, std::string_view text, Fields fields) {
  if (!logger_->should_log(spdlogLevel(level)))
    return;
  RateWindow& window = rateWindowOf(kind);
  const auto now = Clock::now();
  if (now - window.start >= kRateWindow) {
    window.start = now;
    window.written = 0;
  }
  if (settings_.maxLinesPerSecond > 0 && window.written >= settings_.maxLinesPerSecond) {
    ++window.suppressed;
    return;
  }
  ++window.written;
  writeLine(level, kind, text, fields, std::exchange(window.suppressed, 0));
}

void Log::trace(std::string_view step, Fields fields) {
  if (tracing())
    writeLine(LogLevel::debug, step, "", fields, 0);
}

void Log::writeAccess(std::string_view requestId, std::string_view className, std::string_view outcome,
                      double milliseconds) {
  if (!accessLogEnabled())
    return;
  writeLine(LogLevel::info, "access", "",
            {{"request", std::string(requestId)},
             {"class", std::string(className)},
             {"end", std::string(outcome)},
             {"ms", millisecondsText(milliseconds)}},
            0);
}

void Log::writeLine(LogLevel level, std::string_view kind, std::string_view text, Fields fields,
                    unsigned suppressed) {
  std::string line = lineHead(kind, text);
  for (const auto& [key, value] : fields)
    appendField(line, key, value);
  if (suppressed > 0)
    appendField(line, "left_out", std::to_string(suppressed));
  const std::uint64_t droppedBefore = sink_->dropped();
  if (droppedBefore > reportedDropped_)
    appendField(line, "dropped", std::to_string(droppedBefore - reportedDropped_));
  logger_->log(spdlogLevel(level), spdlog::string_view_t(line.data(), line.size()));
  const bool lineWasWritten = sink_->dropped() == droppedBefore;
  if (lineWasWritten)
    reportedDropped_ = droppedBefore;
}

std::string Log::lineHead(std::string_view kind, std::string_view text) const {
  if (settings_.format == LogFormat::json)
    return "\"name\":" + jsonText(name_) + ",\"kind\":" + jsonText(kind) + ",\"text\":" + jsonText(text);
  const std::string head = quotedIfNeeded(name_) + " " + std::string(kind);
  return text.empty() ? head : head + ": " + withoutControlCharacters(text);
}

void Log::appendField(std::string& line, std::string_view key, std::string_view value) const {
  if (settings_.format == LogFormat::json)
    line.append(",\"").append(key).append("\":").append(jsonText(value));
  else
    line.append(" ").append(key).append("=").append(quotedIfNeeded(value));
}

}  // namespace hollyrun::gateway
