#include "balancer/service_time.hpp"

#include <algorithm>

namespace hollyrun::balancer {
namespace {

// An answer counts as this many expected times at most, so that the slow few weigh less.
constexpr double kSampleClip = 2;
constexpr double kMaxRelativeSample = 20;
constexpr double kMachineTypePrior = 4;    // answers for which a machine type is assumed to be a usual one
constexpr double kUnusedDecayGain = 0.05;  // per sweep without requests: fades in two seconds at least
constexpr double kRelativeGain = 0.1;      // per answer: over an endpoint's last ten
// One of many gateways meets an endpoint every few seconds; by ten answers it would learn too late. While
// samples are sparse an endpoint's first answers weigh this much among those of the prior.
constexpr double kSparseInitialGain = 2;
constexpr double kRejectedFactor = 2;  // a rejection counts as this multiple of the relative service time
// Per sweep; the least rises one per cent a second.
constexpr double kMeanGain = 0.05;
constexpr double kMinExpectedRise = 0.001;

}  // namespace

double ServiceTimeModel::recordCost(RequestClass& requestClass, Duration cost) {
  const double seconds = toSeconds(cost);
  if (seconds <= 0)
    return 1.0;
  double& mean = requestClass.meanCost;
  mean = mean > 0 ? mean + kServiceTimeGain * (seconds - mean) : seconds;
  return std::clamp(seconds / mean, 0.2, 5.0);
}

void ServiceTimeModel::recordArrival(const PendingRequest& request) {
  const double expected = request.requestClass->expectedServiceTime;
  if (expected <= 0)
    return;
  meanWork_ += (meanWork_ > 0 ? kServiceTimeGain : 1.0) * (expected * request.cost - meanWork_);
}

void ServiceTimeModel::recordServed(EndpointRecord& record, RequestClass& requestClass, double cost,
                                    double seconds, double confidence) {
  double& expected = requestClass.expectedServiceTime;
  const double sample = seconds / cost;
  if (expected <= 0)
    expected = sample;
  recordSample(record, seconds / (expected * cost), confidence);
  requestClass.answers += 1;
  expected += std::max(kServiceTimeGain, 1 / requestClass.answers) *
              (std::min(sample, kSampleClip * expected) - expected);
}

// An endpoint that stays full, or drains before the list says so, holds little and would look idle.
void ServiceTimeModel::recordRejected(EndpointRecord& record, double confidence) {
  const double slower = kRejectedFactor * record.serviceTime.relative;
  recordSample(record, std::max(slower, record.machineType->relativeServiceTime), confidence);
}

void ServiceTimeModel::recordTimeout(EndpointRecord& record, const RequestClass& requestClass, double cost,
                                     double seconds, double confidence) {
  const double expected = requestClass.expectedServiceTime;
  if (expected > 0 && seconds > expected * cost)
    recordSample(record, seconds / (expected * cost), confidence);
}

// Losses count for the machine type as well, or an overloaded type, which answers little, would go on being
// assumed to be a usual one. They are clipped, or the tenth of its endpoints that is stuck would keep
// requests from the others at every gateway.
void ServiceTimeModel::recordSample(EndpointRecord& record, double sample, double confidence) {
  sample = std::min(sample, kMaxRelativeSample);
  EndpointServiceTime& endpoint = record.serviceTime;
  endpoint.answers += 1;
  endpoint.relative += std::max(kRelativeGain, kSparseInitialGain * (1 - confidence) /
                                                   (endpoint.answers + kMachineTypePrior)) *
                       (sample - endpoint.relative);
  MachineTypeRecord& type = *record.machineType;
  type.answers += 1;
  type.relativeServiceTime +=
      std::max(kServiceTimeGain, 1 / (type.answers + kMachineTypePrior)) *
      (std::min(sample, kSampleClip * type.relativeServiceTime) - type.relativeServiceTime);
}

void ServiceTimeModel::decayUnused(EndpointRegistry& endpoints, double confidence, Time now) const {
  for (HostId host : endpoints.serving()) {
    EndpointRecord& record = endpoints.record(host);
    if (record.servedSinceSweep > 0 || record.inFlight > 0)
      continue;
    record.serviceTime.relative +=
        kUnusedDecayGain * confidence * (assumedRelative(record, now) - record.serviceTime.relative);
  }
}

void ServiceTimeModel::updateMedian(const EndpointRegistry& endpoints) {
  medianRelative_ =
      endpoints.quantile([](const EndpointRecord& record) { return record.serviceTime.relative; }, 0.5, 1);
}

void ServiceTimeModel::sweepClasses(const RequestClassTable& classes) {
  double sum = 0;
  double measured = 0;
  for (const auto& requestClass : classes) {
    if (requestClass->expectedServiceTime <= 0)
      continue;
    sum += requestClass->expectedServiceTime;
    measured += 1;
  }
  expected_ = measured > 0 ? sum / measured : 0;
  meanExpected_ += (meanExpected_ > 0 ? kMeanGain : 1) * (expected_ - meanExpected_);
  minExpected_ =
      minExpected_ > 0 ? std::min(minExpected_ * (1 + kMinExpectedRise), meanExpected_) : meanExpected_;
}

double ServiceTimeModel::workOf(const PendingRequest& request) const {
  if (meanWork_ <= 0)
    return 1;
  return std::clamp(request.requestClass->expectedServiceTime * request.cost / meanWork_, 0.1, 10.0);
}

}  // namespace hollyrun::balancer
