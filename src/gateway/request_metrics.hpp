// What became of requests and attempts, by reason: counters for the operators' page of metrics.
#pragma once

#include <prometheus/metric_family.h>

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

#include "balancer/dispatch_guard.hpp"
#include "gateway/close_reason.hpp"
#include "hollyrun/balancer.hpp"

namespace hollyrun::gateway {

inline constexpr std::size_t kOutcomes = 9;

std::string_view nameOf(balancer::Outcome outcome);
std::string_view nameOf(balancer::RejectReason reason);

struct RequestCounters {
  std::array<std::uint64_t, kOutcomes> attemptsEnded{};               ///< by Outcome
  std::array<std::uint64_t, balancer::kRejectReasonCount> givenUp{};  ///< by RejectReason
  std::uint64_t closedUnanswered = 0;                                 ///< violations: lost requests

  void ended(balancer::Outcome outcome) { ++attemptsEnded[static_cast<std::size_t>(outcome)]; }
  void gaveUp(balancer::RejectReason reason) { ++givenUp[static_cast<std::size_t>(reason)]; }
};

std::vector<prometheus::MetricFamily> metricsOf(const RequestCounters& counters,
                                                const balancer::DispatchGuard& guard,
                                                const CloseCounts& closed);

}  // namespace hollyrun::gateway
