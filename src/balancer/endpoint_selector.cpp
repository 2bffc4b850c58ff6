#include "balancer/endpoint_selector.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "balancer/hash.hpp"

namespace hollyrun::balancer {
namespace {

// Factor on the selection weight of an endpoint in the local zone: the same as for being 1.4 times as fast.
constexpr double kLocalZoneFactor = 2;
constexpr std::size_t kMinKeyEndpoints = 3;  // minimum number of endpoints considered for a key
// Endpoints considered for a frequent key, as a multiple of those that its fraction of the traffic would
// fully use.
constexpr double kKeySpread = 2;
constexpr double kMinSquaredServiceTime = 0.01;
constexpr double kMinServiceTime = 0.05;

double expectedLoad(const EndpointRecord& record) {
  return (record.inFlight + 1) * record.serviceTime.relative;
}

}  // namespace

HostId EndpointSelector::select(const PendingRequest& request, EndpointRegistry& endpoints,
                                RandomSource& random, Time now) {
  collectCandidates(request, Availability::required, endpoints, random, now);
  // Without an available endpoint, any endpoint that the rules allow is better than none.
  if (candidates_.empty())
    collectCandidates(request, Availability::ignored, endpoints, random, now);
  if (candidates_.empty())
    return kNone;
  if (inputs_.settings.keyAffinity && request.hasKey) {
    const HostId host = selectByKey(request, endpoints, random, now);
    if (host != kNone)
      return host;
  }
  const HostId host = selectIdle(request, endpoints, random);
  return host != kNone ? host : selectLessLoaded(request, endpoints, random);
}

// Scans all endpoints or, with a candidate limit, only a few: for a key, those that follow its position on
// the ring, which is the same at all gateways; otherwise a part of this gateway's subset. The scan continues
// past endpoints that are not available.
EndpointSelector::CandidateScan EndpointSelector::startScan(const PendingRequest& request,
                                                            const EndpointRegistry& endpoints,
                                                            RandomSource& random) const {
  const std::vector<VirtualNode>& order = endpoints.subsetOrder();
  const std::uint32_t limit = endpoints.candidateLimit();
  if (limit == 0 || limit >= endpoints.serving().size())
    return {order, order.size(), 0, endpoints.activeSize()};
  if (!inputs_.settings.keyAffinity || !request.hasKey) {
    const std::size_t subset = endpoints.subsetSize();
    return {order, subset, random.drawBelow(subset), std::min<std::size_t>(limit, subset)};
  }
  // A frequent key has several positions, as many as its endpoints need.
  const std::size_t positions = endpointsForKey(request.key, endpoints) / limit + 1;
  const std::uint64_t position = mixBits(request.key + random.drawBelow(positions));
  const std::vector<VirtualNode>& ring = endpoints.ring();
  const auto start = std::lower_bound(ring.begin(), ring.end(), VirtualNode{position, 0}) - ring.begin();
  return {ring, ring.size(), static_cast<std::size_t>(start), limit};
}

void EndpointSelector::collectCandidates(const PendingRequest& request, Availability availability,
                                         EndpointRegistry& endpoints, RandomSource& random, Time now) {
  const CandidateScan scan = startScan(request, endpoints, random);
  const double evenRate =
      inputs_.arrivals.perSecond() / static_cast<double>(std::max<std::size_t>(endpoints.activeSize(), 1));
  candidates_.clear();
  lastScan_.resize(endpoints.records().size());
  ++scans_;
  bool foundIdle = false;
  for (std::size_t i = 0; i < scan.nodes.size() && !(foundIdle && candidates_.size() >= scan.wanted); ++i) {
    const HostId host = scan.at(i);
    if (std::exchange(lastScan_[host], scans_) == scans_)
      continue;  // already examined at another virtual node
    EndpointRecord& record = endpoints.record(host);
    if (availability == Availability::required &&
        (isUnavailable(record, now) || std::ranges::count(request.attemptsMade(), host, &Attempt::host) > 0))
      continue;
    if (!inputs_.retries.isAllowed(request, record.endpoint, endpoints, now))
      continue;
    if (!inputs_.slowStart.allows(record, evenRate, now))
      continue;
    candidates_.push_back(host);
    foundIdle |= isIdle(record);
  }
}

// Number of endpoints that share a key, since the traffic of a frequent key may exceed the capacity of one
// endpoint. A gateway that sends most of an endpoint's traffic can see that the endpoint is busy and uses the
// next one. One of many gateways cannot see that, so it spreads the key in advance.
std::size_t EndpointSelector::endpointsForKey(std::uint64_t key, const EndpointRegistry& endpoints) const {
  const double wanted = kKeySpread * inputs_.keyFrequency.fractionOf(key) * endpoints.servingCount() *
                        (1 - inputs_.arrivals.sampleConfidence());
  return static_cast<std::size_t>(std::max(std::ceil(wanted), 1.0));
}

HostId EndpointSelector::selectByKey(const PendingRequest& request, const EndpointRegistry& endpoints,
                                     RandomSource& random, Time now) {
  const std::size_t spread = endpointsForKey(request.key, endpoints);
  const std::size_t count = std::min(std::max(kMinKeyEndpoints, spread), candidates_.size());
  sortByAffinity(request, endpoints, count);
  const std::size_t start = spread > 1 ? random.drawBelow(std::min(spread, count)) : 0;
  // Endpoints of a large fleet are used so rarely that nearly every request would open a connection, so an
  // endpoint with an open one is preferred.
  const bool isLargeFleet = endpoints.candidateLimit() > 0 && inputs_.settings.candidates == 0;
  for (std::size_t i = 0; isLargeFleet && i < count; ++i) {
    const HostId host = candidates_[(start + i) % count];
    const EndpointRecord& record = endpoints.record(host);
    if (inputs_.connections.hasFreeConnection(record, now) && isIdle(record))
      return host;
  }
  for (std::size_t i = 0; i < count; ++i) {
    const HostId host = candidates_[(start + i) % count];
    const EndpointRecord& record = endpoints.record(host);
    if (isIdle(record) && random.drawUnit() < record.reportedLoad.selectionFraction)
      return host;
  }
  return kNone;
}

// Keeps the first `count` candidates in the key's order of weighted rendezvous hashing, which is nearly the
// same at all gateways. Without weights every endpoint would receive the same share of the keys, and the
// gateways of a large pool would together overload a small endpoint, since none of them can see that it is
// busy.
void EndpointSelector::sortByAffinity(const PendingRequest& request, const EndpointRegistry& endpoints,
                                      std::size_t count) {
  affinityRank_.resize(endpoints.records().size());
  for (HostId host : candidates_) {
    const std::uint64_t hash = mixBits(endpoints.record(host).addressHash ^ request.key);
    const double unit = (static_cast<double>(hash >> 11) + 0.5) * 0x1.0p-53;
    affinityRank_[host] = -std::log(unit) / selectionWeight(host, *request.requestClass, endpoints);
  }
  std::partial_sort(candidates_.begin(), candidates_.begin() + static_cast<std::ptrdiff_t>(count),
                    candidates_.end(),
                    [&](HostId left, HostId right) { return affinityRank_[left] < affinityRank_[right]; });
  candidates_.resize(count);
}

// Draws an idle endpoint, preferring fast endpoints and, only slightly, the local zone. In a large group of
// gateways, the attempts of a single one say little about an endpoint's load: every endpoint looks idle, and
// a strong preference would overload the local zone.
HostId EndpointSelector::selectIdle(const PendingRequest& request, const EndpointRegistry& endpoints,
                                    RandomSource& random) const {
  double sum = 0;
  HostId chosen = kNone;
  for (HostId host : candidates_) {
    const EndpointRecord& record = endpoints.record(host);
    if (!isIdle(record))
      continue;
    const double zoneFactor = record.endpoint.zone == inputs_.settings.zone ? kLocalZoneFactor : 1;
    const double weight = zoneFactor * record.reportedLoad.selectionFraction *
                          selectionWeight(host, *request.requestClass, endpoints);
    sum += weight;
    if (random.drawUnit() * sum < weight)
      chosen = host;
  }
  return chosen;
}

// Compares the expected loads, each divided by the endpoint's selection fraction. Multiplying each load by
// the fraction of the other endpoint gives the same order.
HostId EndpointSelector::selectLessLoaded(const PendingRequest& request, const EndpointRegistry& endpoints,
                                          RandomSource& random) const {
  const HostId first = candidates_[random.drawBelow(candidates_.size())];
  const HostId second = candidates_[random.drawBelow(candidates_.size())];
  const RequestClass& requestClass = *request.requestClass;
  const double firstLoad =
      expectedLoad(endpoints.record(first)) * inputs_.outliers.selectionFraction(second, requestClass);
  const double secondLoad =
      expectedLoad(endpoints.record(second)) * inputs_.outliers.selectionFraction(first, requestClass);
  return firstLoad <= secondLoad ? first : second;
}

double EndpointSelector::selectionWeight(HostId host, const RequestClass& requestClass,
                                         const EndpointRegistry& endpoints) const {
  const double relative = endpoints.record(host).serviceTime.relative;
  return inputs_.outliers.selectionFraction(host, requestClass) /
         std::max(relative * relative, kMinSquaredServiceTime);
}

// Whether the endpoint has no attempt of this gateway in flight. An endpoint that is faster than the median
// counts as idle with more attempts.
bool EndpointSelector::isIdle(const EndpointRecord& record) const {
  const double allowed =
      inputs_.serviceTimes.medianRelative() / std::max(record.serviceTime.relative, kMinServiceTime);
  return record.inFlight < std::max(1.0, allowed);
}

}  // namespace hollyrun::balancer
