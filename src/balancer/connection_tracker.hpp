/// Estimates which connections to an endpoint are open, and whether a new one may be dialled. The embedding
/// proxy owns the connections; this is the Balancer's view of them.
#pragma once

#include "balancer/duration.hpp"
#include "balancer/endpoint_record.hpp"
#include "balancer/random_source.hpp"
#include "balancer/stale_connections.hpp"

namespace hollyrun::balancer {

class ConnectionTracker {
 public:
  explicit ConnectionTracker(const Settings& settings) : settings_(settings) {}

  /// An open connection can carry one more attempt.
  bool hasFreeConnection(const EndpointRecord& record, Time now) const {
    const EndpointConnections& connections = record.connections;
    const bool timedOut = settings_.idleTimeout > Duration{} && record.inFlight == 0 &&
                          now - connections.lastUsedAt >= settings_.idleTimeout;
    return !timedOut && record.inFlight < connections.open * settings_.streamsPerConnection;
  }

  /// Step of the StaleConnectionEstimator for the connection that an attempt would use now.
  std::size_t idleStep(const EndpointRecord& record, Time now) const {
    if (!hasFreeConnection(record, now) || record.inFlight > 0)
      return 0;
    return StaleConnectionEstimator::stepOf(now - record.connections.lastUsedAt);
  }
  bool isStale(std::size_t step) const { return staleConnections_.isStale(step); }

  /// Whether a connection can be had: a trusted open one, or a new one.
  bool isReachable(const EndpointRecord& record, Time now) const {
    return now >= record.connections.dialAfter ||
           (hasFreeConnection(record, now) && !isStale(idleStep(record, now)));
  }

  /// An attempt is sent now; an idle connection that has reached its time-out counts as its replacement.
  void use(EndpointRecord& record, Time now) const {
    record.connections.lastUsedAt = now;
    if (!hasFreeConnection(record, now))
      ++record.connections.open;
  }
  void closeAll(EndpointRecord& record) const { record.connections.open = 0; }

  /// Connections kept to endpoints that this gateway no longer uses would add up to their limits and lock
  /// other gateways out.
  bool shouldCloseIdle(const EndpointRecord& record, Time now) const {
    return record.connections.open > 0 && record.inFlight == 0 &&
           now - record.connections.lastUsedAt >= kIdleClose;
  }

  /// After a failed dial open connections stay in use: unused, they would be closed or lost.
  void recordResult(EndpointRecord& record, const Attempt& attempt, Outcome outcome, Time now,
                    RandomSource& random);
  void decay() { staleConnections_.decay(); }

 private:
  static constexpr Duration kIdleClose = std::chrono::seconds(5);

  const Settings& settings_;
  StaleConnectionEstimator staleConnections_;
};

}  // namespace hollyrun::balancer
