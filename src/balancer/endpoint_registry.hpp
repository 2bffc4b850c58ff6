/// The known endpoints, this gateway's subset of them and the consistent-hash ring.
///
/// Deterministic subsetting: a round is a group of gateways with consecutive indexes that divide the pool
/// among themselves. Endpoints are placed on a circle, in a different order for each round, and the subsets
/// of a round's gateways start at evenly spaced positions. An endpoint that is added or removed affects only
/// the subsets next to its position.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "balancer/endpoint_record.hpp"

namespace hollyrun::balancer {

/// A position of an endpoint on the circle of hash values.
struct VirtualNode {
  std::uint64_t position = 0;
  HostId host = kNone;
  auto operator<=>(const VirtualNode&) const = default;
};

class EndpointRegistry {
 public:
  explicit EndpointRegistry(const Settings& settings) : settings_(settings) {}

  EndpointRecord& record(HostId host) { return records_[host]; }
  const EndpointRecord& record(HostId host) const { return records_[host]; }
  const std::vector<EndpointRecord>& records() const { return records_; }

  /// Returns kNone if no list has named the address.
  HostId find(std::string_view address) const;

  struct UpdateResult {
    HostId host = kNone;
    bool newProcess = false;  ///< a new endpoint, or one that has restarted since the last update
  };
  /// Stores an endpoint list's entry. `reindex` must be called after the last entry of the list.
  UpdateResult update(const Endpoint& endpoint);

  /// Called before a complete list is applied, so that endpoints it does not name are removed.
  void markAllRemoved();

  /// Removes endpoints that no longer serve from the ordered lists and adds those that now do.
  void reindex();
  /// Rebuilds the ordered lists after the settings have changed.
  void rebuildIndex();

  /// The serving endpoints in order of address, which is the same after every start.
  const std::vector<HostId>& serving() const { return serving_; }
  double servingCount() const { return static_cast<double>(serving_.size()); }
  /// The serving endpoints, this gateway's subset first.
  const std::vector<VirtualNode>& subsetOrder() const { return subsetOrder_; }
  /// The consistent-hash ring of the serving endpoints; the same at all gateways. Empty without a candidate
  /// limit.
  const std::vector<VirtualNode>& ring() const { return ring_; }
  /// Number of endpoints at the front of `subsetOrder` that form the subset.
  std::size_t subsetSize() const { return subsetSize_; }
  /// Number of endpoints at the front of `subsetOrder` that are used while one of them is idle.
  std::size_t activeSize() const { return activeSize_; }
  /// Number of endpoints that a request considers; 0 = all.
  std::uint32_t candidateLimit() const { return candidateLimit_; }
  /// Serving endpoints that may have attempts in flight.
  const std::vector<HostId>& busy() const { return busy_; }

  std::map<std::string, MachineTypeRecord>& machineTypes() { return machineTypes_; }

  /// Records that the request has an attempt in flight at the endpoint.
  void addAttempt(HostId host, const PendingRequest& request);
  /// Removes, for each busy endpoint, the attempts before the first one that is still in flight.
  void removeEndedAttempts(const RequestTable& requests);

  /// Quantile of `value(record)` over the serving endpoints; `whenEmpty` if there are none.
  template <class Value>
  double quantile(Value value, double fraction, double whenEmpty) const {
    std::vector<double> values;
    values.reserve(serving_.size());
    for (HostId host : serving_)
      values.push_back(value(records_[host]));
    if (values.empty())
      return whenEmpty;
    const auto nth =
        values.begin() + static_cast<std::ptrdiff_t>(fraction * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), nth, values.end());
    return *nth;
  }

 private:
  void updateCandidateLimit();
  void updateOrders(const std::vector<HostId>& added);
  void updateSubsetSize();
  bool staysIndexed(HostId host) const { return records_[host].indexed && records_[host].isServing(); }
  std::uint32_t gatewaysInRound() const;

  const Settings& settings_;
  std::vector<EndpointRecord> records_;
  std::unordered_map<std::string, HostId> idByAddress_;
  std::map<std::string, MachineTypeRecord> machineTypes_;
  std::vector<HostId> serving_;
  std::vector<VirtualNode> subsetOrder_;
  std::vector<VirtualNode> ring_;
  std::vector<HostId> busy_;
  std::uint32_t candidateLimit_ = 0;
  std::size_t subsetSize_ = 0;
  std::size_t activeSize_ = 0;
};

}  // namespace hollyrun::balancer
