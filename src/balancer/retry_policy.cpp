#include "balancer/retry_policy.hpp"

namespace hollyrun::balancer {
namespace {

bool sharesDeduplication(DeduplicationScope scope, const Endpoint& first, const Endpoint& second) {
  if (scope != DeduplicationScope::all && first.zone != second.zone)
    return false;
  return scope != DeduplicationScope::cell || first.cell == second.cell;
}

}  // namespace

bool RetryPolicy::isRepeatAllowed(const PendingRequest& request, const Endpoint& endpoint,
                                  const EndpointRegistry& endpoints, Time now) const {
  const ClassSettings& settings = request.requestClass->settings;
  for (const Attempt& attempt : request.attemptsMade()) {
    if (!attempt.mayHaveExecuted || settings.idempotency == Idempotency::idempotent)
      continue;
    if (settings.idempotency == Idempotency::none)
      return false;
    const Endpoint& first = endpoints.record(attempt.host).endpoint;
    if (!sharesDeduplication(settings.deduplicationScope, first, endpoint))
      return false;
  }
  return now <= latestRepeatStart(request);
}

bool RetryPolicy::isSafeToRetry(const PendingRequest& request) {
  const ClassSettings& settings = request.requestClass->settings;
  if (std::ranges::none_of(request.attemptsMade(), &Attempt::mayHaveExecuted))
    return true;
  if (settings.idempotency == Idempotency::idempotent)
    return true;
  return settings.idempotency == Idempotency::keyed &&
         settings.deduplicationScope == DeduplicationScope::all && request.attemptsInFlight == 0;
}

}  // namespace hollyrun::balancer
