/// The known endpoints, this gateway's subset of them and the consistent-hash ring.
///
/// Deterministic subsetting: endpoints lie on a circle, in an order of its own for every round of gateways,
/// and the gateways of a round start evenly around it, so that endpoints that come or go move only their
/// neighbours.
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

/// A place of an endpoint on a circle of hashes.
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

  /// kNone if no list has named the address.
  HostId find(std::string_view address) const;

  struct UpdateResult {
    HostId host = kNone;
    bool newProcess = false;  ///< not known before, or started again since
  };
  /// Stores what a list says about an endpoint. `reindex` is needed after the list's last one.
  UpdateResult update(const Endpoint& endpoint);

  /// Before a whole list is applied: what it leaves out is removed.
  void markAllRemoved();

  /// Takes endpoints that no longer serve out of the ordered lists, and merges in those that now do.
  void reindex();
  /// The same from the beginning, after the settings have changed.
  void rebuildIndex();

  /// Serving endpoints in order of address: the same order after every start.
  const std::vector<HostId>& serving() const { return serving_; }
  double servingCount() const { return static_cast<double>(serving_.size()); }
  /// The serving endpoints, this gateway's subset first.
  const std::vector<VirtualNode>& subsetOrder() const { return subsetOrder_; }
  /// The serving endpoints for keys, at the same places at all gateways.
  const std::vector<VirtualNode>& ring() const { return ring_; }
  /// Endpoints of `subsetOrder` that belong to the subset.
  std::size_t subsetSize() const { return subsetSize_; }
  /// Endpoints of `subsetOrder` in use while one of them is idle.
  std::size_t activeSize() const { return activeSize_; }
  /// Endpoints that a request chooses from; 0 = all of them.
  std::uint32_t candidateLimit() const { return candidateLimit_; }
  /// Serving endpoints that may have attempts in flight.
  const std::vector<HostId>& busy() const { return busy_; }

  std::map<std::string, MachineTypeRecord>& machineTypes() { return machineTypes_; }

  /// The endpoint works for the request from now on.
  void addAttempt(HostId host, const PendingRequest& request);
  /// Removes the first attempts of each busy endpoint that are no longer in flight.
  void removeEndedAttempts(const RequestTable& requests);

  /// Quantile over the serving endpoints of what `value` gives for a record.
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
  std::unordered_map<std::string, HostId> idOf_;
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
