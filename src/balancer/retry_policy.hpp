/// Decides whether, where and until when a request may be sent or sent again: retry budget, idempotency,
/// hedging, placement rules and last useful time.
#pragma once

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "balancer/endpoint_registry.hpp"
#include "balancer/service_time.hpp"

namespace hollyrun::balancer {

class RetryPolicy {
 public:
  explicit RetryPolicy(const Settings& settings) : settings_(settings) {}

  /// Adds to the retry budget for a new request; `requestsPerSecond` bounds the unused budget.
  void recordArrival(double requestsPerSecond) {
    budget_ = std::min(budget_ + kBudgetPerRequest, kBaseBudget + kBudgetPerRequest * requestsPerSecond);
  }
  bool hasBudget() const { return budget_ >= 1; }
  void spendBudget() { budget_ -= 1; }

  /// Whether a hedged request is to be scheduled for a request that was just sent.
  bool shouldPlanHedge(const PendingRequest& request) const {
    const RequestClass& requestClass = *request.requestClass;
    return settings_.allowHedging && !request.uploading &&
           requestClass.settings.idempotency != Idempotency::none && requestClass.expectedServiceTime > 0;
  }
  static Duration hedgeDelay(const PendingRequest& request) {
    return scaled(expectedTime(request), kHedgeDelayFactor);
  }
  /// Whether a hedged request that is due may be sent: a reload may have disabled hedging since it was
  /// scheduled.
  bool mayHedge(const PendingRequest& request) const {
    return settings_.allowHedging && request.attemptsInFlight == 1 && hasBudget();
  }

  bool hasAttemptsLeft(const PendingRequest& request) const {
    return request.attemptCount < std::min<std::size_t>(settings_.maxAttempts, kMaxAttempts);
  }

  /// Latest time at which an attempt may be answered so that the answer still has value and reaches the
  /// client in time.
  Time lastUsefulTime(const PendingRequest& request) const {
    const Time end = request.deadline - 2 * settings_.step;
    if (request.requestClass->settings.lateValueFraction > 0)
      return end;
    return std::min(end, request.objectiveAt - 2 * settings_.step);
  }

  /// Whether the request, after `requestsBefore` others in its queue, is expected to be answered too late. A
  /// request that waits past its last useful time blocks its key and fails late anyway.
  bool wouldFinishTooLate(const PendingRequest& request, std::size_t requestsBefore, Time now) const {
    return now + static_cast<Duration::rep>(requestsBefore + 1) * expectedTime(request) >=
           lastUsefulTime(request);
  }

  /// Latest time at which a keyed request that may have been executed may be sent again.
  Time latestRepeatStart(const PendingRequest& request) const {
    const ClassSettings& settings = request.requestClass->settings;
    if (settings.idempotency != Idempotency::keyed)
      return Time::max();
    Time latest = Time::max();
    for (const Attempt& attempt : request.attemptsMade())
      if (attempt.mayHaveExecuted)
        latest = std::min(latest, attempt.sentAt + settings.deduplicationWindow - 2 * settings_.step);
    return latest;
  }

  /// Whether the class's rules on placement and repeats allow the request at this endpoint now. Inline
  /// because it is called for each candidate of each request.
  bool isAllowed(const PendingRequest& request, const Endpoint& endpoint, const EndpointRegistry& endpoints,
                 Time now) const {
    const ClassSettings& settings = request.requestClass->settings;
    if (!allowsName(settings.zones, endpoint.zone) ||
        !allowsName(settings.machineTypes, endpoint.machineType))
      return false;
    return request.attemptCount == 0 || isRepeatAllowed(request, endpoint, endpoints, now);
  }

  /// Whether it is proven that the client may safely send the request again, as a rejection asserts.
  static bool isSafeToRetry(const PendingRequest& request);

 private:
  static bool allowsName(const std::optional<std::vector<std::string>>& allowed, const std::string& name) {
    return !allowed || std::find(allowed->begin(), allowed->end(), name) != allowed->end();
  }
  bool isRepeatAllowed(const PendingRequest& request, const Endpoint& endpoint,
                       const EndpointRegistry& endpoints, Time now) const;

  static constexpr double kBudgetPerRequest = 0.3;  // retries earned per new request
  // Retries that may be saved in addition to those earned in a second.
  static constexpr double kBaseBudget = 3;
  static constexpr double kHedgeDelayFactor = 2.5;  // multiple of the expected service time

  const Settings& settings_;
  double budget_ = kBaseBudget;
};

}  // namespace hollyrun::balancer
