/// Whether and until when a request may be sent (again): retry budget, idempotency, hedging, last useful
/// time.
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

  /// Each new request adds to the retry budget; `requestsPerSecond` bounds what is saved.
  void recordArrival(double requestsPerSecond) {
    budget_ = std::min(budget_ + kBudgetPerRequest, kBaseBudget + kBudgetPerRequest * requestsPerSecond);
  }
  bool hasBudget() const { return budget_ >= 1; }
  void spendBudget() { budget_ -= 1; }

  /// Whether a hedged request is to be prepared for a request just sent.
  bool shouldPlanHedge(const PendingRequest& request) const {
    const RequestClass& requestClass = *request.requestClass;
    return settings_.allowHedging && !request.uploading &&
           requestClass.settings.idempotency != Idempotency::none && requestClass.expectedServiceTime > 0;
  }
  static Duration hedgeDelay(const PendingRequest& request) {
    return scaled(expectedTime(request), kHedgeDelayFactor);
  }
  /// Evaluated when the hedged request is due: a reload may have forbidden hedging since its timer was set.
  bool mayHedge(const PendingRequest& request) const {
    return settings_.allowHedging && request.attemptsInFlight == 1 && hasBudget();
  }

  bool hasAttemptsLeft(const PendingRequest& request) const {
    return request.attemptCount < std::min<std::size_t>(settings_.maxAttempts, kMaxAttempts);
  }

  /// Latest time at which an answer has value and still reaches the client.
  Time lastUsefulTime(const PendingRequest& request) const {
    const Time end = request.deadline - 2 * settings_.step;
    if (request.requestClass->settings.lateValueFraction > 0)
      return end;
    return std::min(end, request.objectiveAt - 2 * settings_.step);
  }

  /// The request and those before it in its queue would not be answered in time. One that waits past its last
  /// useful time blocks its key and is a late failure in the end.
  bool wouldFinishTooLate(const PendingRequest& request, std::size_t requestsBefore, Time now) const {
    return now + static_cast<Duration::rep>(requestsBefore + 1) * expectedTime(request) >=
           lastUsefulTime(request);
  }

  /// Latest time at which a keyed request that may have been executed may start again.
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

  /// The class's rules on placement and repeats allow the request at this endpoint now. Called for each
  /// candidate of each request, hence inline.
  bool isAllowed(const PendingRequest& request, const Endpoint& endpoint, const EndpointRegistry& endpoints,
                 Time now) const {
    const ClassSettings& settings = request.requestClass->settings;
    if (!allowsName(settings.zones, endpoint.zone) ||
        !allowsName(settings.machineTypes, endpoint.machineType))
      return false;
    return request.attemptCount == 0 || isRepeatAllowed(request, endpoint, endpoints, now);
  }

  /// Whether the client may send the request again: a rejection claims so, and needs proof.
  static bool isSafeToRetry(const PendingRequest& request);

 private:
  static bool allowsName(const std::optional<std::vector<std::string>>& allowed, const std::string& name) {
    return !allowed || std::find(allowed->begin(), allowed->end(), name) != allowed->end();
  }
  bool isRepeatAllowed(const PendingRequest& request, const Endpoint& endpoint,
                       const EndpointRegistry& endpoints, Time now) const;

  static constexpr double kBudgetPerRequest = 0.3;  // retries per new request
  static constexpr double kBaseBudget = 3;          // that may be saved, beyond those of a second
  static constexpr double kHedgeDelayFactor = 2.5;

  const Settings& settings_;
  double budget_ = kBaseBudget;
};

}  // namespace hollyrun::balancer
