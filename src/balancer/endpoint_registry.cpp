#include "balancer/endpoint_registry.hpp"

#include <bit>
#include <functional>
#include <utility>

#include "balancer/hash.hpp"

namespace hollyrun::balancer {
namespace {

// A gateway uses this many endpoints plus this multiple of its share of the pool or, with a candidate limit,
// at least kMinSubsetSize endpoints. Endpoints accept a limited number of connections; if each of many
// gateways connected to every endpoint, some gateways would be locked out.
constexpr double kMinSubsetSize = 6;
constexpr double kSubsetFactor = 4;
constexpr std::uint32_t kGatewaysInRound = 16;  // gateways that divide the pool among themselves
// With a candidate limit: minimum number of full rounds, and hence of gateways per endpoint.
constexpr std::uint32_t kMinRounds = 4;
// Number of endpoints from which requests consider only kLargeFleetCandidates of them. Below three quarters
// of this number, requests consider all endpoints again.
constexpr std::size_t kLargeFleet = 600;
constexpr std::uint32_t kLargeFleetCandidates = 64;
// Virtual nodes per endpoint. With a single one, some endpoints would receive 1.5 times as many keys as
// others.
constexpr std::uint64_t kVirtualNodes = 8;

// Removes the elements for which `isRemoved` holds from a sorted list and merges `added` into it.
template <class T, class IsRemoved, class Less = std::less<>>
void updateSorted(std::vector<T>& list, std::vector<T> added, IsRemoved isRemoved, Less less = {}) {
  std::erase_if(list, isRemoved);
  std::sort(added.begin(), added.end(), less);
  const auto middle = list.insert(list.end(), added.begin(), added.end());
  std::inplace_merge(list.begin(), middle, list.end(), less);
}

}  // namespace

HostId EndpointRegistry::find(std::string_view address) const {
  const auto found = idByAddress_.find(std::string(address));
  return found == idByAddress_.end() ? kNone : found->second;
}

EndpointRegistry::UpdateResult EndpointRegistry::update(const Endpoint& endpoint) {
  const auto [known, isNew] = idByAddress_.emplace(endpoint.address, static_cast<HostId>(records_.size()));
  if (isNew)
    records_.emplace_back().addressHash = hashText(endpoint.address);
  EndpointRecord& record = records_[known->second];
  const bool newProcess = isNew || endpoint.upSince != record.endpoint.upSince;
  record.endpoint = endpoint;
  record.machineType = &machineTypes_[endpoint.machineType];
  record.machineType->largestWeight = std::max(record.machineType->largestWeight, endpoint.weight);
  return {known->second, newProcess};
}

void EndpointRegistry::markAllRemoved() {
  for (EndpointRecord& record : records_)
    record.endpoint.state = EndpointState::removed;
}

void EndpointRegistry::rebuildIndex() {
  for (EndpointRecord& record : records_)
    record.indexed = false;
  reindex();
}

void EndpointRegistry::reindex() {
  updateCandidateLimit();
  std::vector<HostId> added;
  for (HostId host = 0; host < records_.size(); ++host)
    if (records_[host].isServing() && !records_[host].indexed)
      added.push_back(host);
  updateOrders(added);
  updateSorted(
      serving_, std::move(added), [&](HostId host) { return !staysIndexed(host); },
      [&](HostId left, HostId right) {
        return records_[left].endpoint.address < records_[right].endpoint.address;
      });
  for (EndpointRecord& record : records_)
    record.indexed = record.isServing();
  updateSubsetSize();
  busy_ = serving_;
  std::erase_if(busy_, [&](HostId host) { return records_[host].attempts.empty(); });
}

// In a large fleet a request considers few endpoints even if the settings ask for all, so that the cost of a
// selection and the number of connections do not grow with the fleet. Endpoints are ordered differently with
// and without a limit, so all of them are indexed again when the limit changes.
void EndpointRegistry::updateCandidateLimit() {
  const auto serving = static_cast<std::size_t>(std::ranges::count_if(records_, &EndpointRecord::isServing));
  const std::size_t threshold = candidateLimit_ > 0 ? kLargeFleet - kLargeFleet / 4 : kLargeFleet;
  const std::uint32_t automatic = serving >= threshold ? kLargeFleetCandidates : 0;
  const std::uint32_t wanted = settings_.candidates > 0 ? settings_.candidates : automatic;
  if (std::exchange(candidateLimit_, wanted) == wanted)
    return;
  for (EndpointRecord& record : records_)
    record.indexed = false;
}

// With a candidate limit, a subset ends where the next gateway's subset begins, so that a full round uses
// each endpoint once.
std::uint32_t EndpointRegistry::gatewaysInRound() const {
  if (candidateLimit_ == 0)
    return kGatewaysInRound;
  return std::bit_floor(std::max(settings_.replicaCount / kMinRounds, 1u));
}

void EndpointRegistry::updateOrders(const std::vector<HostId>& added) {
  const std::uint32_t round = gatewaysInRound();
  const std::uint64_t salt = mixBits(settings_.replicaIndex / round);
  const std::uint64_t arc = UINT64_MAX / round;
  const std::uint64_t start = settings_.replicaIndex % round * arc;
  const std::uint64_t virtualNodes = candidateLimit_ > 0 ? kVirtualNodes : 0;
  std::vector<VirtualNode> ordered;
  std::vector<VirtualNode> nodes;
  for (HostId host : added) {
    const std::uint64_t hash = records_[host].addressHash;
    ordered.push_back({mixBits(hash ^ salt) - start, host});
    for (std::uint64_t i = 0; i < virtualNodes; ++i)
      nodes.push_back({mixBits(hash + i), host});
  }
  const auto isRemoved = [&](const VirtualNode& node) { return !staysIndexed(node.host); };
  updateSorted(subsetOrder_, std::move(ordered), isRemoved);
  updateSorted(ring_, std::move(nodes), isRemoved);
}

// With key affinity all endpoints are in use, since any of them may have served a key before.
void EndpointRegistry::updateSubsetSize() {
  const std::uint64_t arc = UINT64_MAX / gatewaysInRound();
  const auto arcEnd = std::upper_bound(subsetOrder_.begin(), subsetOrder_.end(), VirtualNode{arc, kNone});
  const auto inArc = static_cast<double>(arcEnd - subsetOrder_.begin());
  const double wanted = candidateLimit_ > 0
                            ? std::max(inArc, kMinSubsetSize)
                            : kMinSubsetSize + kSubsetFactor * servingCount() / settings_.replicaCount;
  subsetSize_ = static_cast<std::size_t>(std::min(servingCount(), wanted));
  activeSize_ = settings_.keyAffinity ? serving_.size() : subsetSize_;
}

void EndpointRegistry::addAttempt(HostId host, const PendingRequest& request) {
  EndpointRecord& record = records_[host];
  if (record.attempts.empty() && record.isServing())
    busy_.push_back(host);
  record.attempts.push_back({request.slot, request.id});
  ++record.inFlight;
}

void EndpointRegistry::removeEndedAttempts(const RequestTable& requests) {
  for (HostId host : busy_) {
    std::vector<RequestReference>& attempts = records_[host].attempts;
    const auto firstInFlight = std::ranges::find_if(attempts, [&](RequestReference reference) {
      return requests.findInFlight(reference, host) != nullptr;
    });
    attempts.erase(attempts.begin(), firstInFlight);
  }
  std::erase_if(busy_, [&](HostId host) { return records_[host].attempts.empty(); });
}

}  // namespace hollyrun::balancer
