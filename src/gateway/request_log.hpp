/// Log lines about single requests: the trace at level debug, access lines, and violations.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "gateway/log.hpp"
#include "gateway/request_table.hpp"
#include "hollyrun/balancer.hpp"

namespace hollyrun::gateway {

/// What a broken rule leads to. In service it is counted and logged; a test or a soak ends the process.
enum class ViolationPolicy { log, abort };

class RequestLog {
 public:
  RequestLog(Log& log, const balancer::Balancer& balancer, ViolationPolicy policy);

  void traceReceived(const RequestContext& context, std::string_view className);
  void traceAttempt(std::string_view step, const RequestContext& context, std::uint32_t attempt,
                    balancer::HostId host, std::string_view detail);
  void traceAttemptStarted(const RequestContext& context, std::uint32_t attempt, balancer::HostId host,
                           std::chrono::milliseconds advertisedDeadline);
  void traceRejection(const RequestContext& context, const balancer::Action& action);
  void traceClientDisconnected(const RequestContext& context);

  bool isAccessLogged() const { return log_.accessLogEnabled(); }
  /// `duration`: from the request's last byte to the response's last; none if the request was not received.
  void logAccess(std::string_view clientId, std::string_view className, std::string_view outcome,
                 std::optional<std::chrono::nanoseconds> duration);

  /// Logs a rule that was about to be broken: a fault of this program.
  void reportViolation(std::string_view rule, const std::string& clientId);

 private:
  Log& log_;
  const balancer::Balancer& balancer_;
  ViolationPolicy policy_;
};

}  // namespace hollyrun::gateway
