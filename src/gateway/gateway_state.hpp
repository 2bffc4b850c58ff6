/// The state that the components of a gateway share: the settings in effect, the balancer, the requests in
/// progress, and counters.
#pragma once

#include "gateway/balancer_clock.hpp"
#include "gateway/executed_requests.hpp"
#include "gateway/request_log.hpp"
#include "gateway/request_metrics.hpp"
#include "gateway/request_table.hpp"
#include "gateway/statistics.hpp"
#include "hollyrun/balancer.hpp"

namespace hollyrun::gateway {

/// Owned by the Gateway, which outlives the components that refer to it.
struct GatewayState {
  GatewayState(const balancer::Settings& initialSettings, std::size_t executedRequestsBytes, Log& log,
               ViolationPolicy violationPolicy)
      : settings(initialSettings),
        executedRequests(executedRequestsBytes),
        balancer(initialSettings, clock.now()),
        requestLog(log, balancer, violationPolicy) {}
  GatewayState(const GatewayState&) = delete;
  GatewayState& operator=(const GatewayState&) = delete;

  BalancerClock clock;
  /// Whether a request whose id may have been executed may be sent on nevertheless: servers discard repeats
  /// of a keyed request within its window, if all of them share their keys.
  bool mayRepeat(const balancer::AttemptTerms& terms, RequestFingerprint fingerprint) const {
    const auto sentAt = executedRequests.find(fingerprint);
    if (!sentAt)
      return true;
    return terms.idempotency == balancer::Idempotency::keyed &&
           terms.deduplicationScope == balancer::DeduplicationScope::all &&
           std::chrono::steady_clock::now() - *sentAt < terms.deduplicationWindow - kMaxWriteDelay;
  }

  /// The process may be held up for this long between reading its clock and writing.
  static constexpr std::chrono::milliseconds kMaxWriteDelay{150};

  balancer::Settings settings;
  ExecutedRequests executedRequests;
  balancer::Balancer balancer;
  RequestTable requests;
  Statistics statistics;
  RequestCounters counters;
  RequestLog requestLog;
};

}  // namespace hollyrun::gateway
