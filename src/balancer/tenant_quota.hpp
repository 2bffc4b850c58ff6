/// Checks requests against this gateway's share of their tenant's quota, with token buckets that need no
/// periodic refill.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <vector>

#include "balancer/duration.hpp"

namespace hollyrun::balancer {

/// A bucket is represented by the time at which it was last empty, so that time alone refills it, at no cost.
/// A bucket holds the tokens of one second at most.
class TenantQuota {
 public:
  /// Sets the number of tenants. New buckets start empty.
  void resize(std::size_t tenants, Time now) { emptySince_.resize(tenants, now); }

  /// Takes one token; returns false if the bucket holds less than one. `perSecond` is this gateway's share of
  /// the quota.
  bool tryAcquire(std::uint32_t tenant, double perSecond, Time now) {
    Time& emptySince = emptySince_[tenant];
    emptySince = std::max(emptySince, now - std::chrono::seconds(1));
    if (toSeconds(now - emptySince) * perSecond < 1)
      return false;
    emptySince += scaled(std::chrono::seconds(1), 1 / perSecond);
    return true;
  }

 private:
  std::vector<Time> emptySince_;
};

}  // namespace hollyrun::balancer
