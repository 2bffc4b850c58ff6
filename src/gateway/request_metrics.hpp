/// Counters of attempts by outcome and of rejected requests by reason, for the operators' page of metrics.
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

inline constexpr std::size_t kOutcomeCount = 9;

/// The texts are label values of /metrics and fields of trace lines; some differ from the enumerators.
std::string_view nameOf(balancer::Outcome outcome);
std::string_view nameOf(balancer::RejectReason reason);

struct RequestCounters {
  std::array<std::uint64_t, kOutcomeCount> attemptOutcomes{};            ///< by Outcome
  std::array<std::uint64_t, balancer::kRejectReasonCount> rejections{};  ///< by RejectReason
  std::uint64_t closedUnanswered = 0;  ///< connections closed while their client waited (violations)

  void recordAttempt(balancer::Outcome outcome) { ++attemptOutcomes[static_cast<std::size_t>(outcome)]; }
  void recordRejection(balancer::RejectReason reason) { ++rejections[static_cast<std::size_t>(reason)]; }
};

/// All counters as Prometheus families, with the guard's denials and the closed connections.
std::vector<prometheus::MetricFamily> collectRequestMetrics(const RequestCounters& counters,
                                                            const balancer::DispatchGuard& guard,
                                                            const CloseCounts& closed);

}  // namespace hollyrun::gateway
