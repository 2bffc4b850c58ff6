#include "gateway/request_metrics.hpp"

#include <string>
#include <utility>

#include "gateway/metric_families.hpp"

namespace hollyrun::gateway {
namespace {

constexpr std::array<std::string_view, kOutcomeCount> kOutcomeNames = {
    "served", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot", "not_sent"};
constexpr std::array<std::string_view, balancer::kRejectReasonCount> kRejectReasonNames = {
    "none",           "cutoff",  "out_of_time",  "attempts_used",
    "queue_too_long", "no_host", "retry_budget", "not_wanted"};
constexpr std::string_view kClosedUnanswered = "closed_unanswered";

}  // namespace

std::string_view nameOf(balancer::Outcome outcome) {
  return kOutcomeNames[static_cast<std::size_t>(outcome)];
}

std::string_view nameOf(balancer::RejectReason reason) {
  return kRejectReasonNames[static_cast<std::size_t>(reason)];
}

std::vector<prometheus::MetricFamily> collectRequestMetrics(const RequestCounters& counters,
                                                            const balancer::DispatchGuard& guard,
                                                            const CloseCounts& closed) {
  auto attempts = counterFamily("hollyrun_attempts_ended_total", "Attempts that have ended, by outcome.");
  for (std::size_t i = 0; i < kOutcomeCount; ++i)
    addCounter(attempts, "outcome", kOutcomeNames[i], counters.attemptOutcomes[i]);
  auto retries = counterFamily("hollyrun_further_attempts_total",
                               "Attempts after the first of a request, by what caused them.");
  for (std::size_t i = 0; i < kOutcomeCount; ++i)
    addCounter(retries, "cause", kOutcomeNames[i], counters.retries[i]);
  addCounter(retries, "cause", "hedge", counters.hedges);
  auto rejections = counterFamily("hollyrun_given_up_total", "Requests refused or failed here, by reason.");
  for (std::size_t i = 1; i < balancer::kRejectReasonCount; ++i)
    addCounter(rejections, "reason", kRejectReasonNames[i], counters.rejections[i]);
  auto denied = counterFamily("hollyrun_dispatch_denied_total", "Attempts denied as they began, by reason.");
  auto violations =
      counterFamily("hollyrun_violations_total", "Broken rules, by rule. Each is a fault of this program.");
  for (std::size_t i = 0; i < balancer::kDenialReasonCount; ++i) {
    const auto reason = static_cast<balancer::DenialReason>(i);
    auto& family = balancer::isViolation(reason) ? violations : denied;
    addCounter(family, balancer::isViolation(reason) ? "rule" : "reason", balancer::nameOf(reason),
               guard.denied(reason));
  }
  addCounter(violations, "rule", kClosedUnanswered, counters.closedUnanswered);
  auto closes = counterFamily("hollyrun_client_connections_closed_total",
                              "Clients' connections, by reason of their end.");
  for (std::size_t i = 0; i < kCloseReasons; ++i)
    addCounter(closes, "reason", nameOf(static_cast<CloseReason>(i)), closed[i]);
  auto cuts = counterFamily("hollyrun_responses_cut_total",
                            "Streamed responses that ended before their last byte, by reason.");
  for (std::size_t i = 0; i < kResponseCutReasons; ++i)
    addCounter(cuts, "reason", nameOf(static_cast<ResponseCutReason>(i)), counters.responseCuts[i]);
  auto unsent = counterFamily("hollyrun_requests_not_sent_on_total",
                              "Requests that were not sent on, by what was seen of their client.");
  addCounter(unsent, "reason", "repeated_id", counters.repeatedIds);
  addCounter(unsent, "reason", "unread_input", counters.unknownPresence);
  return {std::move(attempts),   std::move(retries), std::move(rejections), std::move(denied),
          std::move(violations), std::move(closes),  std::move(cuts),       std::move(unsent)};
}

}  // namespace hollyrun::gateway
