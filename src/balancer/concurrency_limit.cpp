#include "balancer/concurrency_limit.hpp"

#include <algorithm>
#include <cmath>

namespace hollyrun::balancer {
namespace {

// Allowed mean time in flight, as a fraction of the latency objective.
constexpr double kObjectiveFraction = 0.45;
// Allowed mean time in flight, as a multiple of the expected service time. Where the objective is many times
// the service time, requests that queue for most of it gain nothing: they overload the endpoints until these
// slow down, and keep them slow. Overload also lengthens the expected service time, and a limit that followed
// it would keep the endpoints overloaded; the limit therefore follows its recent minimum.
constexpr double kMaxServiceTimes = 3.5;
// Lower bound of the time that kMaxServiceTimes allows. Attempts at an endpoint that has stopped responding
// are not a sign of queueing, and where service times are short they age by many service times before the
// silence is detected.
constexpr Duration kMinAllowedTime = std::chrono::milliseconds(80);
// An attempt is counted up to an age of this multiple of the allowed mean time in flight, at endpoints that
// receive kFrequentRate requests per second, enough for a stall to be detected within half a second.
constexpr double kMaxAgeFactor = 3;
constexpr double kFrequentRate = 8;  // requests per second and endpoint
// Upper bound of the slowdown, the ratio of the expected service time to its recent minimum. The age up to
// which an attempt is counted grows with the third power of the slowdown.
constexpr double kMaxSlowdown = 3;
constexpr double kArrivalGain = 0.05;    // per arrival: averages over the last twenty
constexpr double kSweepGain = 0.5;       // per sweep
constexpr double kObjectiveGain = 0.02;  // per arrival
// Attempts that all gateways together may have in flight at an endpoint before anything is measured.
constexpr double kInitialPerEndpoint = 6;
constexpr Duration kInitialTime = 10 * kSweepInterval;  // kInitialPerEndpoint applies for this long
// Attempts that all gateways together may always have in flight at an endpoint: one being served and one
// waiting. A burst that overloads the endpoints leads to the rejection of nearly all requests and then to
// idle endpoints; a limit based only on the few answers would never recover.
constexpr double kFloorPerEndpoint = 2;
// Rejections are the first sign of overload, and endpoints stay slow long after an overload. The limit is
// reduced by this multiple of the fraction of rejected attempts, by at most half. Rejections decay within
// half a second.
constexpr double kRejectionFactor = 4;
constexpr double kMaxRejectionCut = 0.5;
// Decay per sweep of the number of attempts that an endpoint had in flight while nothing was shed; the number
// decays over some minutes. The decaying number stays allowed: when all endpoints slow down together, a limit
// that followed the falling rate would leave them idle.
constexpr double kBaselineDecay = 0.001;
// Attempts assumed successful, so that the fraction of rejections among a handful of attempts is not taken at
// face value.
constexpr double kOutcomePrior = 10;

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(const Settings& settings, const ArrivalRate& arrivals,
                                   const ServiceTimeModel& serviceTimes, Time now)
    : settings_(settings),
      arrivals_(arrivals),
      serviceTimes_(serviceTimes),
      startedAt_(now),
      outcomes_(kOutcomePrior) {
  const auto classes = static_cast<double>(settings.classes.size());
  for (const ClassSettings& requestClass : settings.classes)
    meanObjective_ += toSeconds(requestClass.latencyObjective) / classes;
}

void ConcurrencyLimit::recordArrival(Duration objectiveTime) {
  meanObjective_ += kObjectiveGain * (toSeconds(objectiveTime) - meanObjective_);
}

double ConcurrencyLimit::maximum(double warmEndpoints, Time now) const {
  const double rejectionFactor = 1 - std::min(kRejectionFactor * rejections_ / outcomes_, kMaxRejectionCut);
  // Assumed values per endpoint apply before anything is measured (the gateway may start during an overload)
  // and after a pause in the traffic.
  const double initial = kInitialPerEndpoint / settings_.replicaCount;
  const double floor = kFloorPerEndpoint / settings_.replicaCount;
  const double perEndpoint = now - startedAt_ < kInitialTime ? initial : std::max(floor, baselineInFlight_);
  return rejectionFactor * std::max(timelyRate_ * allowedTime(), perEndpoint * std::max(warmEndpoints, 1.0));
}

// Mean time in flight, in seconds, that the limit allows.
double ConcurrencyLimit::allowedTime() const {
  const double time = meanObjective_ * kObjectiveFraction;
  const double minExpected = serviceTimes_.minExpected();
  if (minExpected <= 0)
    return time;
  return std::min(time, std::max(kMaxServiceTimes * minExpected, toSeconds(kMinAllowedTime)));
}

// Ignores old attempts: those that stay in flight at a few stalled endpoints until they time out would reach
// the limit of a pool that is otherwise idle. Where endpoints are used rarely, an attempt is counted up to
// the allowed mean time in flight, and for longer as all service times grow.
double ConcurrencyLimit::inFlightNow(const EndpointRegistry& endpoints, const RequestTable& requests,
                                     Time now) const {
  const double perEndpoint = arrivals_.perSecond() / std::max(endpoints.servingCount(), 1.0);
  const double minExpected = serviceTimes_.minExpected();
  const double slowdown =
      minExpected > 0 ? std::min(serviceTimes_.expected() / minExpected, kMaxSlowdown) : 1;
  const double ageFactor = std::max(1 + (kMaxAgeFactor - 1) * std::min(perEndpoint / kFrequentRate, 1.0),
                                    slowdown * slowdown * slowdown);
  const Time oldestCounted = now - scaled(std::chrono::seconds(1), ageFactor * allowedTime());
  double inFlight = 0;
  for (HostId host : endpoints.busy()) {
    const EndpointRecord& record = endpoints.record(host);
    if (record.health.isUnhealthy())
      continue;  // one unhealthy endpoint must not raise the shedding threshold of the pool
    for (auto reference = record.attempts.rbegin(); reference != record.attempts.rend(); ++reference) {
      const Attempt* attempt = requests.findInFlight(*reference, host);
      if (!attempt)
        continue;
      if (attempt->sentAt < oldestCounted)
        break;
      inFlight += 1;
    }
  }
  return inFlight;
}

void ConcurrencyLimit::smoothAtArrival(double inFlight) {
  smoothedInFlight_ +=
      (inFlight - smoothedInFlight_) * kArrivalGain * std::sqrt(arrivals_.sampleConfidence());
}

// Needed where arrivals are rare: with updates on arrivals alone, a past burst would stay in the mean too
// long.
void ConcurrencyLimit::smoothAtSweep(double inFlight) {
  const double confidence = arrivals_.sampleConfidence();
  smoothedInFlight_ += (inFlight - smoothedInFlight_) * kSweepGain * confidence * confidence;
}

void ConcurrencyLimit::sweepRate() {
  timelyRate_ += arrivals_.fastGain() * (timelyWork_ / toSeconds(kSweepInterval) - timelyRate_);
  timelyWork_ = 0;
}

void ConcurrencyLimit::sweepBaseline(bool hasSpareCapacity, const EndpointRegistry& endpoints) {
  baselineInFlight_ *= 1 - kBaselineDecay;
  if (hasSpareCapacity && !endpoints.serving().empty())
    baselineInFlight_ = std::max(baselineInFlight_, smoothedInFlight_ / endpoints.servingCount());
  rejections_ *= 1 - kFastGain;
  outcomes_ += kFastGain * (kOutcomePrior - outcomes_);
}

}  // namespace hollyrun::balancer
