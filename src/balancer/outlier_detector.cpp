#include "balancer/outlier_detector.hpp"

#include <string>

namespace hollyrun::balancer {
namespace {

constexpr double kFailureGain = 0.12;  // per outcome: five consecutive failures raise the rate to one half
// An endpoint is ejected if its failure rate exceeds both this rate and this multiple of the lower quartile
// of the pool.
constexpr double kEjectionFailureRate = 0.45;
constexpr double kEjectionPeerFactor = 2.5;
constexpr double kRecoveredFailureRate = 0.05;
constexpr double kClassGain = 0.25;  // per outcome of the class at the endpoint: three failures make one half
constexpr double kPeersGain = 0.02;  // per outcome of the class at any endpoint: averages over about fifty
// Fraction of the pool that may be ejected or in probation, so that a failure of all endpoints never empties
// the pool.
constexpr double kMaxEjected = 0.5;
constexpr Duration kEjectionTime = std::chrono::seconds(1);  // doubled for each consecutive ejection
constexpr int kMaxEjectionDoublings = 3;
// An endpoint is silent after this multiple of the expected service time without a response, and after no
// less than kMinSilence.
constexpr double kSilenceFactor = 4;
constexpr Duration kMinSilence = std::chrono::milliseconds(150);
constexpr Duration kRejectionPause = std::chrono::milliseconds(100);  // a few response times without load

bool isFailure(Outcome outcome) {
  return outcome == Outcome::timeout || outcome == Outcome::error || outcome == Outcome::connectFailed ||
         outcome == Outcome::reset;
}

}  // namespace

void OutlierDetector::recordResult(EndpointRecord& record, HostId host, RequestClass& requestClass,
                                   Outcome outcome, Time now, RandomSource& random,
                                   ActionList& actions) const {
  EndpointHealth& health = record.health;
  const bool failed = isFailure(outcome);
  const bool rejected = outcome == Outcome::rejected;
  recordHostResponse(health, outcome, now, random);
  health.outcomes += 1;
  if (failed || rejected)
    health.errors += 1;
  if (!rejected)
    health.failureRate += kFailureGain * ((failed ? 1.0 : 0.0) - health.failureRate);
  if (outcome != Outcome::connectFailed)
    recordClassResult(host, requestClass, failed || rejected);
  if (health.state != HealthState::probation || rejected)
    return;
  if (failed) {
    eject(record, "failure in probation", now, random, actions);
    return;
  }
  health.state = HealthState::healthy;
  health.failureRate = 0;
  if (actions.mayLog(now))
    actions.log(now, "host recovered " + record.endpoint.address);
}

void OutlierDetector::recordHostResponse(EndpointHealth& health, Outcome outcome, Time now,
                                         RandomSource& random) {
  if (outcome == Outcome::served || outcome == Outcome::rejected || outcome == Outcome::error)
    health.lastResponseAt = now;
  if (outcome == Outcome::served)
    health.consecutiveRejections = 0;
  if (outcome == Outcome::rejected && ++health.consecutiveRejections >= kMaxConsecutiveRejections)
    health.pausedUntil = now + scaled(kRejectionPause, 0.5 + random.drawUnit());
}

void OutlierDetector::recordClassResult(HostId host, RequestClass& requestClass, bool failed) {
  const double sample = failed ? 1 : 0;
  const auto known = requestClass.endpointFailureRates.find(host);
  if (known != requestClass.endpointFailureRates.end())
    known->second += kClassGain * (sample - known->second);
  else if (failed)
    requestClass.endpointFailureRates.emplace(host, kClassGain);
  requestClass.failureRate += kPeersGain * (sample - requestClass.failureRate);
}

void OutlierDetector::eject(EndpointRecord& record, const char* reason, Time now, RandomSource& random,
                            ActionList& actions) {
  EndpointHealth& health = record.health;
  health.state = HealthState::ejected;
  health.ejectedUntil = now + scaled(kEjectionTime * (1 << health.ejections), 0.75 + 0.5 * random.drawUnit());
  health.ejections = std::min(health.ejections + 1, kMaxEjectionDoublings);
  if (actions.mayLog(now))
    actions.log(now, "host ejected " + record.endpoint.address + " (" + reason + ")");
}

void OutlierDetector::beginSweep(EndpointRegistry& endpoints, double gain, Time now) {
  unhealthyCount_ = 0;
  for (HostId host : endpoints.serving()) {
    EndpointHealth& health = endpoints.record(host).health;
    health.outcomes *= 1 - gain;
    health.errors *= 1 - gain;
    if (health.state == HealthState::ejected && now >= health.ejectedUntil)
      health.state = HealthState::probation;
    if (health.state != HealthState::healthy)
      ++unhealthyCount_;
    health.silent = false;
  }
}

// Without this check, a paused or lost endpoint would accumulate requests until they time out.
void OutlierDetector::detectSilence(EndpointRegistry& endpoints, const RequestTable& requests,
                                    double expectedServiceTime, Time now) const {
  for (HostId host : endpoints.busy()) {
    EndpointRecord& record = endpoints.record(host);
    const double factor = kSilenceFactor * expectedServiceTime * std::max(1.0, record.serviceTime.relative);
    const Duration limit = std::max(kMinSilence, scaled(std::chrono::seconds(1), factor));
    const Attempt* oldest = requests.findInFlight(record.attempts.front(), host);
    record.health.silent = oldest && now - std::max(record.health.lastResponseAt, oldest->sentAt) > limit;
  }
}

// Compares endpoints with their peers, so that a failure common to all endpoints ejects none.
void OutlierDetector::ejectOutliers(EndpointRegistry& endpoints, Time now, RandomSource& random,
                                    ActionList& actions) const {
  const double peerRate =
      endpoints.quantile([](const EndpointRecord& record) { return record.health.failureRate; }, 0.25, 0);
  const double limit = std::max(kEjectionFailureRate, kEjectionPeerFactor * peerRate);
  double unhealthy = unhealthyCount_;
  for (HostId host : endpoints.serving()) {
    EndpointRecord& record = endpoints.record(host);
    EndpointHealth& health = record.health;
    if (health.state != HealthState::healthy || unhealthy + 1 > kMaxEjected * endpoints.servingCount())
      continue;
    if (health.failureRate > limit) {
      eject(record, "high failure rate", now, random, actions);
      ++unhealthy;
    } else if (health.ejections > 0 && health.failureRate < kRecoveredFailureRate &&
               now > health.ejectedUntil + 4 * kEjectionTime) {
      health.ejections = 0;
    }
  }
}

}  // namespace hollyrun::balancer
