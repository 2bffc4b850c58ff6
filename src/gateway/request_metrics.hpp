/// Counts attempts by outcome and rejected requests by reason, and exports the counters on /metrics.
#pragma once

#include <prometheus/metric_family.h>

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

#include "balancer/dispatch_guard.hpp"
#include "gateway/close_reason.hpp"
#include "gateway/response_cut.hpp"
#include "hollyrun/balancer.hpp"

namespace hollyrun::gateway {

inline constexpr std::size_t kOutcomeCount = 9;

/// Return the label values of /metrics and field values of trace lines. Some differ from the enumerator
/// names.
std::string_view nameOf(balancer::Outcome outcome);
std::string_view nameOf(balancer::RejectReason reason);

struct RequestCounters {
  std::array<std::uint64_t, kOutcomeCount> attemptOutcomes{};            ///< Indexed by Outcome.
  std::array<std::uint64_t, balancer::kRejectReasonCount> rejections{};  ///< Indexed by RejectReason.
  std::array<std::uint64_t, kOutcomeCount> retries{};  ///< Indexed by the Outcome that caused the retry.
  std::uint64_t hedges = 0;                            ///< Attempts beside one that was in flight.
  ResponseCutCounts responseCuts{};                    ///< Indexed by ResponseCutReason.
  std::uint64_t repeatedIds = 0;  ///< Requests answered with 409, because their id may have been executed.
  std::uint64_t unknownPresence = 0;   ///< Requests or attempts refused behind much unread input.
  std::uint64_t closedUnanswered = 0;  ///< Connections closed while the client was waiting (violations).

  void recordResponseCut(ResponseCutReason reason) { ++responseCuts[static_cast<std::size_t>(reason)]; }
  void recordAttempt(balancer::Outcome outcome) { ++attemptOutcomes[static_cast<std::size_t>(outcome)]; }
  void recordRetry(balancer::Outcome cause) { ++retries[static_cast<std::size_t>(cause)]; }
  void recordRejection(balancer::RejectReason reason) { ++rejections[static_cast<std::size_t>(reason)]; }
};

/// Returns all counters as Prometheus families, together with the guard's denials and the closed connections.
std::vector<prometheus::MetricFamily> collectRequestMetrics(const RequestCounters& counters,
                                                            const balancer::DispatchGuard& guard,
                                                            const CloseCounts& closed);

}  // namespace hollyrun::gateway
