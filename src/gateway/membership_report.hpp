/// Reports of the fleet for operators: the JSON body of GET /ops/fleet and the metrics hollyrun_fleet_*.
#pragma once

#include <prometheus/metric_family.h>

#include <cstdint>
#include <string>
#include <vector>

#include "membership/membership.hpp"

namespace hollyrun::gateway {

/// A membership instance with its transport's data.
struct MembershipStatus {
  const membership::Membership* membership = nullptr;  ///< null while the address cannot be bound
  std::string fleet, name;
  membership::Time now{}, startedAt{};  ///< on the clock of `membership`
  std::uint64_t flooded = 0;            ///< datagrams dropped above the limit per second
  std::uint64_t unsent = 0;             ///< datagrams that the operating system refused to send
};

/// Returns indented JSON with a trailing newline.
std::string renderMembershipJson(const MembershipStatus& status);
/// Returns an empty list while the address cannot be bound.
std::vector<prometheus::MetricFamily> collectMembershipMetrics(const MembershipStatus& status);

}  // namespace hollyrun::gateway
