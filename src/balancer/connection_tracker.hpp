/// Estimates how many connections to an endpoint are open, and whether a new one may be dialled. The
/// embedding proxy owns the connections; this is the Balancer's view of them.
#pragma once

#include "balancer/duration.hpp"
#include "balancer/endpoint_record.hpp"
#include "balancer/random_source.hpp"
#include "balancer/stale_connections.hpp"

namespace hollyrun::balancer {

class ConnectionTracker {
 public:
  explicit ConnectionTracker(const Settings& settings) : settings_(settings) {}

  /// Whether an open connection can carry one more attempt.
  bool hasFreeConnection(const EndpointRecord& record, Time now) const {
    const EndpointConnections& connections = record.connections;
    const bool timedOut = settings_.idleTimeout > Duration{} && record.inFlight == 0 &&
                          now - connections.lastUsedAt >= settings_.idleTimeout;
    return !timedOut && record.inFlight < connections.open * settings_.streamsPerConnection;
  }

  /// Bucket of the StaleConnectionEstimator for the connection that an attempt would use now.
  std::size_t idleBucket(const EndpointRecord& record, Time now) const {
    if (!hasFreeConnection(record, now) || record.inFlight > 0)
      return 0;
    return StaleConnectionEstimator::bucketOf(now - record.connections.lastUsedAt);
  }
  bool isStale(std::size_t bucket) const { return staleConnections_.isStale(bucket); }

  /// Whether a connection is available: an open one that is not stale, or a new one.
  bool isReachable(const EndpointRecord& record, Time now) const {
    return now >= record.connections.dialAfter ||
           (hasFreeConnection(record, now) && !isStale(idleBucket(record, now)));
  }

  /// Records that an attempt is sent now. A new connection replaces an idle one that has reached its timeout,
  /// so the count of open connections is unchanged in that case.
  void use(EndpointRecord& record, Time now) const {
    record.connections.lastUsedAt = now;
    if (!hasFreeConnection(record, now))
      ++record.connections.open;
  }
  void closeAll(EndpointRecord& record) const { record.connections.open = 0; }

  /// Whether the idle connections are to be closed. Connections that gateways keep to endpoints they no
  /// longer use would add up to the endpoints' limits and lock out other gateways.
  bool shouldCloseIdle(const EndpointRecord& record, Time now) const {
    return record.connections.open > 0 && record.inFlight == 0 &&
           now - record.connections.lastUsedAt >= kIdleCloseDelay;
  }

  /// Records an attempt's outcome. After a failed dial no new connection is opened for some time, but the
  /// open ones stay in use; unused, they would be closed or lost.
  void recordResult(EndpointRecord& record, const Attempt& attempt, Outcome outcome, Time now,
                    RandomSource& random);
  void decay() { staleConnections_.decay(); }

 private:
  static constexpr Duration kIdleCloseDelay = std::chrono::seconds(5);

  const Settings& settings_;
  StaleConnectionEstimator staleConnections_;
};

}  // namespace hollyrun::balancer
