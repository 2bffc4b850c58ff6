#include "balancer/concurrency_limit.hpp"

#include <algorithm>
#include <cmath>

namespace hollyrun::balancer {
namespace {

constexpr double kObjectiveFraction = 0.45;  // mean time in flight allowed, as a part of the objective
// Where the objective is many expected times long, requests that wait for most of it overload the endpoints
// until they slow down, and then stay slow. So long a queue gains nothing. Overloaded endpoints lengthen the
// expected time, and a maximum that followed it would keep them overloaded: it follows the least of the
// recent past.
constexpr double kMaxExpectedTimes = 3.5;
// Attempts held by an endpoint that fell silent say nothing of a queue, and where answers are quick they are
// many expected times' worth before the silence shows.
constexpr Duration kMinAllowedTime = std::chrono::milliseconds(80);
// An attempt counts for this multiple of the mean time allowed at most, where an endpoint is sent so many
// requests a second that a stall shows in half a second.
constexpr double kMaxAgeFactor = 3;
constexpr double kFrequentRate = 8;
constexpr double kMaxSlowdown = 3;     // as the answers slow down, by the third power of it up to this
constexpr double kArrivalGain = 0.05;  // per arrival, over the last twenty
constexpr double kSweepGain = 0.5;
constexpr double kObjectiveGain = 0.02;    // per arrival
constexpr double kInitialPerEndpoint = 6;  // maximum assumed for an endpoint before anything was measured
constexpr Duration kInitialTime = 10 * kSweepInterval;
// After a burst that overloads the endpoints nearly all is rejected, endpoints stand idle, and a maximum that
// follows the few answers would never grow back. All gateways together may have this many at an endpoint: one
// at work and one waiting.
constexpr double kFloorPerEndpoint = 2;
// Endpoints once overloaded stay slow long after, and a rejection is the first sign of it. This multiple of
// the fraction of rejections is taken off the maximum, up to a half, and forgotten in half a second.
constexpr double kRejectionFactor = 4;
constexpr double kMaxRejectionCut = 0.5;
// When all endpoints slow down together, a maximum that follows the falling rate would idle them. What an
// endpoint had in flight while nothing was shed stays allowed; per sweep: forgotten in some minutes.
constexpr double kBaselineDecay = 0.001;
constexpr double kOutcomePrior = 10;  // attempts assumed good, so that a handful of samples proves nothing

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
  // Before anything was measured (this gateway's start in an overload) and after a pause, assumptions for
  // each endpoint stand in.
  const double initial = kInitialPerEndpoint / settings_.replicaCount;
  const double floor = kFloorPerEndpoint / settings_.replicaCount;
  const double perEndpoint = now - startedAt_ < kInitialTime ? initial : std::max(floor, baselineInFlight_);
  return rejectionFactor * std::max(timelyRate_ * allowedTime(), perEndpoint * std::max(warmEndpoints, 1.0));
}

// Seconds in flight, in the mean, that the maximum allows.
double ConcurrencyLimit::allowedTime() const {
  const double time = meanObjective_ * kObjectiveFraction;
  const double least = serviceTimes_.leastExpected();
  if (least <= 0)
    return time;
  return std::min(time, std::max(kMaxExpectedTimes * least, toSeconds(kMinAllowedTime)));
}

// What a few stalled endpoints hold until it times out would fill the maximum of a pool that idles. Where
// endpoints are seldom used an attempt counts for the mean time allowed; for longer as all answers slow down.
double ConcurrencyLimit::inFlightNow(const EndpointRegistry& endpoints, const RequestTable& requests,
                                     Time now) const {
  const double perEndpoint = arrivals_.perSecond() / std::max(endpoints.servingCount(), 1.0);
  const double least = serviceTimes_.leastExpected();
  const double slowdown = least > 0 ? std::min(serviceTimes_.expected() / least, kMaxSlowdown) : 1;
  const double ageFactor = std::max(1 + (kMaxAgeFactor - 1) * std::min(perEndpoint / kFrequentRate, 1.0),
                                    slowdown * slowdown * slowdown);
  const Time oldest = now - scaled(std::chrono::seconds(1), ageFactor * allowedTime());
  double inFlight = 0;
  for (HostId host : endpoints.busy()) {
    const EndpointRecord& record = endpoints.record(host);
    if (record.health.isUnhealthy())
      continue;  // one bad endpoint must not raise the pool's threshold
    for (auto reference = record.attempts.rbegin(); reference != record.attempts.rend(); ++reference) {
      const Attempt* attempt = requests.findInFlight(*reference, host);
      if (!attempt)
        continue;
      if (attempt->sentAt < oldest)
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

// With few arrivals a past burst would linger if only arrivals updated the mean.
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
