#include "balancer/connection_tracker.hpp"

#include <algorithm>

namespace hollyrun::balancer {
namespace {

// Pause after a failed dial, doubled for each further failure: the endpoint is down or at its connection
// limit.
constexpr Duration kDialBackoff = std::chrono::seconds(1);
constexpr int kMaxDialBackoffDoublings = 3;

}  // namespace

void ConnectionTracker::recordResult(EndpointRecord& record, const Attempt& attempt, Outcome outcome,
                                     Time now, RandomSource& random) {
  EndpointConnections& connections = record.connections;
  if (outcome == Outcome::connectFailed) {
    const Duration backoff = kDialBackoff * (1 << connections.failedDials);
    connections.dialAfter = now + scaled(backoff, 0.5 + random.drawUnit());
    connections.failedDials = std::min(connections.failedDials + 1, kMaxDialBackoffDoublings);
  }
  const bool lost = outcome == Outcome::connectFailed || outcome == Outcome::reset;
  if (lost && connections.open > 0)
    --connections.open;
  if (attempt.newConnection && outcome == Outcome::served)
    connections.failedDials = 0;
  connections.lastUsedAt = now;
  staleConnections_.record(attempt.idleBucket, outcome);
}

}  // namespace hollyrun::balancer
