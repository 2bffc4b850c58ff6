#include "balancer/service_time.hpp"

#include <algorithm>

namespace hollyrun::balancer {
namespace {

// Upper bound of a sample as a multiple of the expected value, so that a few slow answers weigh less.
constexpr double kSampleClip = 2;
constexpr double kMaxRelativeSample = 20;
constexpr double kMachineTypePrior = 4;    // assumed samples of an average machine type
constexpr double kUnusedDecayGain = 0.05;  // per sweep without requests: decays over two seconds or more
constexpr double kRelativeGain = 0.1;      // per sample: averages over an endpoint's last ten
// Weight of an endpoint's first samples relative to those of the prior while samples are sparse. One of many
// gateways sends to an endpoint only every few seconds, so an average over ten answers would adapt too late.
constexpr double kSparseInitialGain = 2;
// A rejection counts as a sample of this multiple of the endpoint's relative service time.
constexpr double kRejectedFactor = 2;
constexpr double kMeanGain = 0.05;          // per sweep
constexpr double kMinExpectedRise = 0.001;  // per sweep: the minimum rises by one percent per second

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

// A rejection raises the relative service time: an endpoint that stays full, or drains before the list says
// so, has few attempts in flight and would otherwise look idle.
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

// Rejections and timeouts count for the machine type as well; otherwise an overloaded type, which answers few
// requests, would still be assumed to be an average one. The samples are clipped; otherwise one stuck
// endpoint in ten would keep requests away from the rest of its type at every gateway.
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
