/// What operators see of the fleet: the text of GET /ops/fleet and the metrics hollyrun_fleet_*.
#pragma once

#include <prometheus/metric_family.h>

#include <cstdint>
#include <string>
#include <vector>

#include "membership/membership.hpp"

namespace hollyrun::gateway {

/// A membership instance and what its transport adds.
struct MembershipStatus {
  const membership::Membership* membership = nullptr;  ///< null while the address cannot be bound
  std::string fleet, name;
  membership::Time now{}, startedAt{};  ///< of the clock that membership runs by
  std::uint64_t flooded = 0;            ///< datagrams dropped above the rate that is read
  std::uint64_t unsent = 0;             ///< datagrams that the system did not accept
};

/// JSON, indented, with a newline at the end.
std::string membershipText(const MembershipStatus& status);
/// Empty while the address cannot be bound.
std::vector<prometheus::MetricFamily> membershipMetrics(const MembershipStatus& status);

}  // namespace hollyrun::gateway
