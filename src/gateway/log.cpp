#include "gateway/log.hpp"

#include <limits.h>
#include <poll.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/logger.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/base_sink.h>
#include <unistd.h>

#include <cstdio>
#include <nlohmann/json.hpp>

namespace hollyrun::gateway {
namespace {

spdlog::level::level_enum levelOf(LogLevel level) {
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

// A value of a text line: as it is, or quoted where it would not read as one word.
std::string word(std::string_view text) {
  const bool plain = !text.empty() && text.find_first_of(" \"=\n\r\t") == std::string_view::npos;
  return plain ? std::string(text) : jsonText(text);
}

// What comes from outside may hold anything; a line stays one line.
std::string oneLine(std::string_view text) {
  std::string out(text);
  for (char& c : out)
    if (static_cast<unsigned char>(c) < 0x20)
      c = ' ';
  return out;
}

}  // namespace

class Log::Sink final : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  explicit Sink(int descriptor) : descriptor_(descriptor) {}
  std::uint64_t dropped = 0;

 protected:
  // Danger: a pipe that nobody reads would stop the loop, and every request with it. A pipe that polls as
  // writable takes PIPE_BUF bytes whole and at once; a longer line is cut.
  void sink_it_(const spdlog::details::log_msg& message) override {
    spdlog::memory_buf_t text;
    formatter_->format(message, text);
    if (text.size() > PIPE_BUF) {
      text.resize(PIPE_BUF);
      text[PIPE_BUF - 1] = '\n';
    }
    pollfd ready{descriptor_, POLLOUT, 0};
    const bool may = ::poll(&ready, 1, 0) == 1 && (ready.revents & POLLOUT) != 0;
    if (!may || ::write(descriptor_, text.data(), text.size()) != static_cast<ssize_t>(text.size()))
      ++dropped;
  }
  void flush_() override {}

 private:
  int descriptor_;
};

Log::Log(std::string name, const LogSettings& settings, int descriptor)
    : name_(std::move(name)),
      sink_(std::make_shared<Sink>(descriptor)),
      logger_(std::make_shared<spdlog::logger>("hollyrun", sink_)) {
  set(settings);
}

Log::~Log() = default;

void Log::set(const LogSettings& settings) {
  settings_ = settings;
  logger_->set_level(levelOf(settings.level));
  const char* pattern =
      settings.json ? R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",%v})" : "%Y-%m-%dT%H:%M:%S.%eZ %l %v";
  logger_->set_formatter(
      std::make_unique<spdlog::pattern_formatter>(pattern, spdlog::pattern_time_type::utc));
}

std::uint64_t Log::dropped() const {
  return sink_->dropped;
}

void Log::write(LogLevel level, std::string_view kind, std::string_view text, Fields fields) {
  if (!logger_->should_log(levelOf(level)))
    return;
  auto it = kinds_.find(kind);
  if (it == kinds_.end())
    it = kinds_.emplace(std::string(kind), Kind{}).first;
  Kind& k = it->second;
  const auto now = Clock::now();
  if (now - k.since >= std::chrono::seconds(1))
    k.since = now, k.written = 0;
  if (settings_.mostPerSecond > 0 && k.written >= settings_.mostPerSecond)
    return void(++k.leftOut);
  ++k.written;
  line(level, kind, text, fields, std::exchange(k.leftOut, 0));
}

void Log::trace(std::string_view step, Fields fields) {
  if (tracing())
    line(LogLevel::debug, step, "", fields, 0);
}

void Log::answered(std::string_view request, std::string_view cls, std::string_view end, double ms) {
  if (!access())
    return;
  char took[32] = "-";
  if (ms >= 0)
    std::snprintf(took, sizeof took, "%.3f", ms);
  line(LogLevel::info, "access", "",
       {{"request", std::string(request)},
        {"class", std::string(cls)},
        {"end", std::string(end)},
        {"ms", took}},
       0);
}

void Log::line(LogLevel level, std::string_view kind, std::string_view text, Fields fields,
               unsigned leftOut) {
  std::string out;
  const auto add = [&](std::string_view key, std::string_view value) {
    out.append(settings_.json ? ",\"" : " ").append(key).append(settings_.json ? "\":" : "=");
    out += settings_.json ? jsonText(value) : word(value);
  };
  if (settings_.json)
    out = "\"name\":" + jsonText(name_) + ",\"kind\":" + jsonText(kind) + ",\"text\":" + jsonText(text);
  else
    out = word(name_) + " " + std::string(kind) + (text.empty() ? "" : ": ") + oneLine(text);
  for (const auto& [key, value] : fields)
    add(key, value);
  if (leftOut > 0)
    add("left_out", std::to_string(leftOut));
  if (sink_->dropped > droppedTold_)
    add("dropped", std::to_string(sink_->dropped - droppedTold_));
  const std::uint64_t before = sink_->dropped;
  logger_->log(levelOf(level), spdlog::string_view_t(out.data(), out.size()));
  if (sink_->dropped == before)
    droppedTold_ = before;
}

}  // namespace hollyrun::gateway
