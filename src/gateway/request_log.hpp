/// Writes log lines about individual requests: debug traces, access log lines, and violations.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "gateway/close_reason.hpp"
#include "gateway/log.hpp"
#include "gateway/request_table.hpp"
#include "gateway/response_cut.hpp"
#include "hollyrun/balancer.hpp"

namespace hollyrun::gateway {

/// The reaction to a violated rule of request handling. In production the violation is counted and logged; in
/// tests and soaks the process aborts as well.
enum class ViolationPolicy { log, abort };

class RequestLog {
 public:
  RequestLog(Log& log, const balancer::Balancer& balancer, ViolationPolicy policy);

  void traceReceived(const RequestContext& context, std::string_view className);
  /// `event` is the kind of the log line.
  void traceAttempt(std::string_view event, const RequestContext& context, std::uint32_t attempt,
                    balancer::HostId host, std::string_view detail);
  void traceAttemptStarted(const RequestContext& context, std::uint32_t attempt, balancer::HostId host,
                           std::chrono::milliseconds advertisedDeadline);
  /// Logs that a request was rejected or failed, and the reason.
  void logRejection(const RequestContext& context, const balancer::Action& action);
  /// Logs an attempt after the first one. `cause` is the outcome of the attempt before it.
  void logFurtherAttempt(const RequestContext& context, const balancer::Action& action,
                         std::string_view cause);
  /// Logs that a client's message was rejected before the balancer received it.
  void logResponseCut(const ResponseCut& cut);
  void logRepeatedId(const RequestContext& context);
  void logInvalidRequest(const std::string& clientId, unsigned status);
  /// Logs that the downstream server rejected a message itself.
  void logUnreadRejection(RejectionKind kind);
  /// Logs that this gateway closed a connection to a client for another reason than the end of its use.
  void logClose(CloseReason reason);
  void traceClientDisconnected(const RequestContext& context);

  bool isAccessLogged() const { return log_.accessLogEnabled(); }
  /// `duration` runs from the last byte of the request to the last byte of the response. It is empty if the
  /// request was not received completely.
  void logAccess(std::string_view clientId, std::string_view className, std::string_view outcome,
                 std::optional<std::chrono::nanoseconds> duration);

  /// Logs that a rule of request handling was violated, or that a check prevented its violation. In both
  /// cases the cause is a bug in this program.
  void reportViolation(std::string_view rule, const std::string& clientId);

 private:
  Log& log_;
  const balancer::Balancer& balancer_;
  ViolationPolicy policy_;
};

}  // namespace hollyrun::gateway
