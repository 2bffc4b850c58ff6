/// The state that the components of a gateway share: the settings in effect, the balancer, the requests in
/// progress, and counters.
#pragma once

#include "gateway/balancer_clock.hpp"
#include "gateway/request_log.hpp"
#include "gateway/request_metrics.hpp"
#include "gateway/request_table.hpp"
#include "gateway/statistics.hpp"
#include "hollyrun/balancer.hpp"

namespace hollyrun::gateway {

/// Owned by the Gateway, which outlives the components that refer to it.
struct GatewayState {
  GatewayState(const balancer::Settings& initialSettings, Log& log, ViolationPolicy violationPolicy)
      : settings(initialSettings),
        balancer(initialSettings, clock.now()),
        requestLog(log, balancer, violationPolicy) {}
  GatewayState(const GatewayState&) = delete;
  GatewayState& operator=(const GatewayState&) = delete;

  BalancerClock clock;
  balancer::Settings settings;
  balancer::Balancer balancer;
  RequestTable requests;
  Statistics statistics;
  RequestCounters counters;
  RequestLog requestLog;
};

}  // namespace hollyrun::gateway
