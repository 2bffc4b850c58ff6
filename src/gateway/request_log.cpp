#include "gateway/request_log.hpp"

#include <cmath>
#include <cstdlib>

#include "gateway/request_metrics.hpp"

namespace hollyrun::gateway {
namespace {

using balancer::ActionKind;
using balancer::Duration;
using balancer::HostId;

std::string inMilliseconds(Duration duration) {
  return std::to_string(duration / std::chrono::milliseconds(1));
}

}  // namespace

RequestLog::RequestLog(Log& log, const balancer::Balancer& balancer, ViolationPolicy policy)
    : log_(log), balancer_(balancer), policy_(policy) {}

void RequestLog::traceReceived(const RequestContext& context, std::string_view className) {
  if (!log_.tracing())
    return;
  log_.trace("request_received", {{"request", std::string(context.clientId)},
                                  {"class", std::string(className)},
                                  {"left_ms", inMilliseconds(context.timeLimit)}});
}

void RequestLog::traceAttempt(std::string_view event, const RequestContext& context, std::uint32_t attempt,
                              HostId host, std::string_view detail) {
  if (!log_.tracing())
    return;
  const Duration timeLeft = context.timeLimit - (std::chrono::steady_clock::now() - context.receivedAt);
  log_.trace(event, {{"request", std::string(context.clientId)},
                     {"attempt", std::to_string(attempt)},
                     {"host", balancer_.address(host)},
                     {"detail", std::string(detail)},
                     {"left_ms", inMilliseconds(timeLeft)}});
}

void RequestLog::traceAttemptStarted(const RequestContext& context, std::uint32_t attempt, HostId host,
                                     std::chrono::milliseconds advertisedDeadline) {
  if (log_.tracing())
    traceAttempt("attempt_started", context, attempt, host,
                 "deadline_ms=" + std::to_string(advertisedDeadline.count()));
}

void RequestLog::logRejection(const RequestContext& context, const balancer::Action& action) {
  const bool isRejection = action.kind == ActionKind::reject;
  if (log_.tracing())
    return log_.trace(
        isRejection ? "request_rejected" : "request_failed",
        {{"request", std::string(context.clientId)}, {"reason", std::string(nameOf(action.reason))}});
  log_.write(LogLevel::info, "rejection", isRejection ? "request rejected" : "request failed",
             {{"request", std::string(context.clientId)},
              {"reason", std::string(nameOf(action.reason))},
              {"attempts", std::to_string(context.attemptsStarted)}});
}

void RequestLog::logFurtherAttempt(const RequestContext& context, const balancer::Action& action,
                                   std::string_view cause) {
  log_.write(LogLevel::info, "retry", "further attempt",
             {{"request", std::string(context.clientId)},
              {"attempt", std::to_string(action.attempt)},
              {"host", balancer_.address(action.host)},
              {"cause", std::string(cause)}});
}

void RequestLog::logResponseCut(const ResponseCut& cut) {
  const double seconds = std::chrono::duration<double>(cut.duration).count();
  const double bytesPerSecond = seconds > 0 ? static_cast<double>(cut.bytes) / seconds : 0;
  log_.write(LogLevel::info, "cut", "response ended before its last byte",
             {{"reason", std::string(nameOf(cut.reason))},
              {"host", balancer_.address(cut.host)},
              {"bytes", std::to_string(cut.bytes)},
              {"ms", inMilliseconds(cut.duration)},
              {"bytes_per_s", std::to_string(std::llround(bytesPerSecond))}});
}

void RequestLog::logRepeatedId(const RequestContext& context) {
  log_.write(LogLevel::info, "rejection", "id may have been executed before",
             {{"request", std::string(context.clientId)}});
}

void RequestLog::logInvalidRequest(const std::string& clientId, unsigned status) {
  log_.write(LogLevel::info, "rejection", "request invalid",
             {{"request", clientId}, {"status", std::to_string(status)}});
}

void RequestLog::logUnreadRejection(RejectionKind kind) {
  log_.write(LogLevel::info, "rejection", "request rejected before it was read whole",
             {{"reason", kind == RejectionKind::overloaded ? "no_memory" : "invalid"}});
}

void RequestLog::logClose(CloseReason reason) {
  const bool isOrdinary = reason == CloseReason::clientDisconnected || reason == CloseReason::idleTimeout ||
                          reason == CloseReason::finalResponse;
  if (!isOrdinary)
    log_.write(LogLevel::info, "close", "client connection closed",
               {{"reason", std::string(nameOf(reason))}});
}

void RequestLog::traceClientDisconnected(const RequestContext& context) {
  if (log_.tracing())
    log_.trace("client_disconnected", {{"request", std::string(context.clientId)}});
}

void RequestLog::logAccess(std::string_view clientId, std::string_view className, std::string_view outcome,
                           std::optional<std::chrono::nanoseconds> duration) {
  const double durationMs = duration ? std::chrono::duration<double, std::milli>(*duration).count() : -1;
  log_.writeAccess(clientId, className, outcome, durationMs);
}

void RequestLog::reportViolation(std::string_view rule, const std::string& clientId) {
  log_.write(LogLevel::error, "violation", "violation of a request handling rule",
             {{"rule", std::string(rule)}, {"request", clientId}});
  if (policy_ == ViolationPolicy::abort)
    std::abort();
}

}  // namespace hollyrun::gateway
