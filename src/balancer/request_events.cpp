// Handles the events of requests and attempts, from a request's arrival to the end of its last attempt.
#include <algorithm>

#include "balancer/balancer_impl.hpp"
#include "balancer/duration.hpp"

namespace hollyrun::balancer {
namespace {

// Maximum time for an upload: 32 MB at 64 kB per second take 500 seconds; the rest is a margin.
constexpr Duration kMaxUploadTime = std::chrono::minutes(10);

// Lower bound of elapsed times: ratios of times are meaningless for zero.
constexpr double kMinElapsedSeconds = 1e-6;

}  // namespace

// --- Arrival ---

void Balancer::Impl::acceptRequest(const Request& event) {
  if (requests_.contains(event.id))
    return;
  PendingRequest& request = requests_.insert(event.id);
  request.requestClass = classes_.at(event.classIndex);
  request.deadline = now_ + event.remaining;
  request.key = event.key;
  request.hasKey = event.hasKey;
  request.uploading = event.uploading;
  estimateTimes(request, event);
  arrivals_.recordArrival();
  if (settings_.keyAffinity && request.hasKey)
    keyFrequency_.record(request.key);
  retries_.recordArrival(arrivals_.perSecond());
  scoreRequest(request, event.tenantIndex);
  if (request.score < shedder_.threshold()) {
    reject(request, RejectReason::belowThreshold);
  } else if (request.isOrderedPerKey()) {
    enqueueForKey(request);
  } else {
    schedule(request.deadline - settings_.step, request, TimerKind::deadline);
    sendFirst(request);
  }
}

void Balancer::Impl::estimateTimes(PendingRequest& request, const Request& event) {
  RequestClass& requestClass = *request.requestClass;
  const ClassSettings& settings = requestClass.settings;
  request.cost = serviceTimes_.recordCost(requestClass, event.cost);
  const Duration waited = requestClass.clientWait.record(event.remaining, settings.clientTimeout);
  request.objectiveAt =
      now_ - waited + settings.latencyObjective + scaled(event.cost, settings.objectiveStretch);
  // Where late answers have value, the concurrency limit uses an extended objective: lateValueFraction of the
  // time after the objective in which the client still waits is added, counting at most one more objective.
  const Duration lateTime = std::min(requestClass.clientWait.usualRemaining() - settings.latencyObjective,
                                     settings.latencyObjective);
  concurrencyLimit_.recordArrival(settings.latencyObjective + scaled(lateTime, settings.lateValueFraction));
  serviceTimes_.recordArrival(request);
  if (event.uploading) {
    request.deadline += kMaxUploadTime;
    request.objectiveAt += kMaxUploadTime;
  }
}

void Balancer::Impl::scoreRequest(PendingRequest& request, std::uint32_t tenantIndex) {
  const double priority = effectivePriority(request, tenantIndex);
  request.score = shedder_.score(priority, random_.drawUnit());
  concurrencyLimit_.smoothAtArrival(concurrencyLimit_.inFlightNow(endpoints_, requests_, now_));
  updateThreshold();
}

// The priority weight, reduced if the answer will be late or the tenant is beyond its quota.
double Balancer::Impl::effectivePriority(const PendingRequest& request, std::uint32_t tenantIndex) {
  const ClassSettings& settings = request.requestClass->settings;
  double priority = settings.priorityWeight;
  if (now_ >= request.objectiveAt)
    priority *= settings.lateValueFraction;
  if (tenantIndex >= settings_.tenants.size())
    return priority;
  const double quota = settings_.tenants[tenantIndex].quotaPerSecond;
  if (quota > 0 && !tenantQuota_.tryAcquire(tenantIndex, quota / settings_.replicaCount, now_))
    priority *= settings_.overQuotaWeight;
  return priority;
}

void Balancer::Impl::enqueueForKey(PendingRequest& request) {
  const std::size_t requestsBefore = keySequencer_.enqueue(request.key, request.slot);
  if (requestsBefore > 0 && retries_.wouldFinishTooLate(request, requestsBefore, now_)) {
    rejectOrFail(request, RejectReason::queueTooLong);
    return;
  }
  schedule(request.deadline - settings_.step, request, TimerKind::deadline);
  schedule(retries_.lastUsefulTime(request) - expectedTime(request), request, TimerKind::keyQueue);
  keySequencer_.markDue(request.key);
}

void Balancer::Impl::dispatchDueKeys() {
  keySequencer_.visitDue(now_, [this](std::uint32_t slot, Time cooldownUntil) {
    PendingRequest& request = requests_.atSlot(slot);
    if (request.ended || request.attemptCount > 0)
      return;
    if (now_ < cooldownUntil)
      schedule(cooldownUntil, request, TimerKind::keyQueue);
    else
      sendFirst(request);
  });
}

// --- Attempts ---

void Balancer::Impl::sendFirst(PendingRequest& request) {
  const RejectReason reason = send(request);
  if (reason != RejectReason::none)
    rejectOrFail(request, reason);
  else if (retries_.shouldPlanHedge(request))
    schedule(now_ + RetryPolicy::hedgeDelay(request), request, TimerKind::hedge);
}

// Returns why the request was not sent; `none` if it was.
RejectReason Balancer::Impl::send(PendingRequest& request) {
  const Time lastUsefulTime = retries_.lastUsefulTime(request);
  if (lastUsefulTime <= now_)
    return RejectReason::deadlineExceeded;
  if (!retries_.hasAttemptsLeft(request))
    return RejectReason::attemptsExhausted;
  // During an overload, a request with less time left than an answer currently takes has little chance, takes
  // capacity from others and prolongs the overload. Without overload there is capacity to try.
  if (!shedder_.hasSpareCapacity() && retries_.wouldFinishTooLate(request, 0, now_))
    return RejectReason::queueTooLong;
  const HostId host = selector_.select(request, endpoints_, random_, now_);
  if (host == kNone)
    return RejectReason::noEndpoint;
  startAttempt(request, host, lastUsefulTime - now_);
  return RejectReason::none;
}

void Balancer::Impl::startAttempt(PendingRequest& request, HostId host, Duration timeLimit) {
  EndpointRecord& record = endpoints_.record(host);
  slowStart_.spend(record, now_);
  std::size_t idleBucket = connections_.idleBucket(record, now_);
  if (connections_.isStale(idleBucket)) {
    actions_.closeIdle(host);
    connections_.closeAll(record);
    idleBucket = 0;
  }
  // Must be computed before the new attempt is recorded as one that may have been executed.
  const Duration latestStart = retries_.latestRepeatStart(request) - now_;
  request.attempts[request.attemptCount] = {.host = host,
                                            .sentAt = now_,
                                            .inFlight = true,
                                            .mayHaveExecuted = true,
                                            .newConnection = !connections_.hasFreeConnection(record, now_),
                                            .idleBucket = idleBucket};
  connections_.use(record, now_);
  if (!request.uploading)
    endpoints_.addAttempt(host, request);
  actions_.send(request.id, request.attemptCount, host, timeLimit, latestStart);
  ++request.attemptsInFlight;
  ++request.attemptCount;
}

// Returns why the request was not sent again; `none` if it was.
RejectReason Balancer::Impl::resend(PendingRequest& request, Outcome outcome) {
  if (outcome == Outcome::abandoned)
    return RejectReason::abandoned;
  if (retries_.lastUsefulTime(request) <= now_)
    return RejectReason::deadlineExceeded;
  if (!retries_.hasBudget())
    return RejectReason::retryBudgetExhausted;
  const RejectReason reason = send(request);
  if (reason == RejectReason::none)
    retries_.spendBudget();
  return reason;
}

void Balancer::Impl::completeAttempt(const AttemptResult& result) {
  PendingRequest* found = requests_.find(result.request);
  if (!found || result.attempt >= found->attemptCount || !found->attempts[result.attempt].inFlight)
    return;
  PendingRequest& request = *found;
  Attempt& attempt = request.attempts[result.attempt];
  attempt.inFlight = false;
  --request.attemptsInFlight;
  if (!request.uploading)
    --endpoints_.record(attempt.host).inFlight;
  if (provesNotExecuted(result.outcome))
    attempt.mayHaveExecuted = false;
  recordOutcome(attempt.host, request, attempt, result);
  const bool uncertain = result.outcome == Outcome::timeout || result.outcome == Outcome::reset ||
                         result.outcome == Outcome::cancelled;
  if (uncertain && request.isOrderedPerKey())
    keySequencer_.startCooldown(request.key, now_ + settings_.keyCooldown);
  if (result.terminal && !request.ended) {
    request.ended = true;
    cancelAttempts(request);
  }
  if (request.ended) {
    eraseIfComplete(request);
    return;
  }
  if (request.responseStarted || request.attemptsInFlight > 0)
    return;
  const RejectReason reason = resend(request, result.outcome);
  if (reason != RejectReason::none)
    rejectOrFail(request, reason);
}

// Updates the statistics with an outcome. The order matters: the weight of a rejection is based on the
// failure rates before it.
void Balancer::Impl::recordOutcome(HostId host, const PendingRequest& request, const Attempt& attempt,
                                   const AttemptResult& result) {
  EndpointRecord& record = endpoints_.record(host);
  RequestClass& requestClass = *request.requestClass;
  const Outcome outcome = result.outcome;
  const double seconds = std::max(toSeconds(result.elapsed), kMinElapsedSeconds);
  const double confidence = arrivals_.sampleConfidence();
  if (outcome == Outcome::served) {
    record.servedSinceSweep += 1;
    serviceTimes_.recordServed(record, requestClass, request.cost, seconds, confidence);
    const double value = now_ <= request.objectiveAt ? 1 : requestClass.settings.lateValueFraction;
    concurrencyLimit_.recordServed(serviceTimes_.workOf(request), value);
  } else if (outcome == Outcome::rejected) {
    serviceTimes_.recordRejected(record, confidence);
    if (OutlierDetector::rejectionIndicatesPoolOverload(record))
      concurrencyLimit_.recordRejection(outliers_.selectionFraction(host, requestClass));
  } else if (outcome == Outcome::timeout) {
    serviceTimes_.recordTimeout(record, requestClass, request.cost, seconds, confidence);
  }
  connections_.recordResult(record, attempt, outcome, now_, random_);
  if (!OutlierDetector::isEvidence(outcome))
    return;
  concurrencyLimit_.recordOutcome();
  outliers_.recordResult(record, host, requestClass, outcome, now_, random_, actions_);
}

void Balancer::Impl::completeUpload(RequestId id, Duration remaining) {
  PendingRequest* request = requests_.find(id);
  if (!request || !request->uploading)
    return;
  request->uploading = false;
  request->objectiveAt += now_ + remaining - request->deadline;
  request->deadline = now_ + remaining;
  schedule(request->deadline - settings_.step, *request, TimerKind::deadline);
  for (std::uint32_t i = 0; i < request->attemptCount; ++i) {
    Attempt& attempt = request->attempts[i];
    if (!attempt.inFlight)
      continue;
    attempt.sentAt = now_;
    endpoints_.addAttempt(attempt.host, *request);
  }
}

void Balancer::Impl::startResponse(RequestId id, std::uint32_t attempt) {
  PendingRequest* request = requests_.find(id);
  if (!request || request->ended || attempt >= request->attemptCount)
    return;
  request->responseStarted = true;
  cancelAttempts(*request, attempt);
}

// --- End ---

void Balancer::Impl::disconnectClient(RequestId id) {
  PendingRequest* request = requests_.find(id);
  if (request && !request->ended)
    finish(*request);
}

// A rejection asserts that a retry is safe. Where that is not proven, the request fails instead.
void Balancer::Impl::rejectOrFail(PendingRequest& request, RejectReason reason) {
  if (RetryPolicy::isSafeToRetry(request)) {
    reject(request, reason);
    return;
  }
  actions_.fail(request.id, reason);
  finish(request);
}

// The lower the score, the longer the retry-after. Jitter keeps the retries from arriving at the same time.
void Balancer::Impl::reject(PendingRequest& request, RejectReason reason) {
  Duration retryAfter{};
  if (settings_.retryAfter)
    retryAfter =
        scaled(settings_.maxRetryAfter, (1 - request.score / 100) * (0.5 + 0.5 * random_.drawUnit()));
  actions_.reject(request.id, reason, retryAfter);
  finish(request);
}

void Balancer::Impl::finish(PendingRequest& request) {
  request.ended = true;
  cancelAttempts(request);
  eraseIfComplete(request);
}

// Cancels attempts whose answers are no longer needed.
void Balancer::Impl::cancelAttempts(PendingRequest& request, std::uint32_t exceptAttempt) {
  if (!settings_.cancel)
    return;
  for (std::uint32_t i = 0; i < request.attemptCount; ++i) {
    Attempt& attempt = request.attempts[i];
    if (!attempt.inFlight || attempt.cancelled || i == exceptAttempt)
      continue;
    attempt.cancelled = true;
    actions_.cancel(request.id, i);
  }
}

void Balancer::Impl::eraseIfComplete(const PendingRequest& request) {
  if (!request.ended || request.attemptsInFlight > 0)
    return;
  if (request.isOrderedPerKey())
    keySequencer_.remove(request.key, request.slot);
  requests_.erase(request);
}

}  // namespace hollyrun::balancer
